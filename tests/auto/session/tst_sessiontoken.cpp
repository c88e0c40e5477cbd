#include "decision/session/sessiontokencodec.h"

#include <catch2/catch.hpp>

#include <random>

using namespace papayaspindle;

namespace {

const GroupId kPond("pond-1");
const GroupId kCrier("crier-1");

SessionTokenCodec
Codec(std::vector<std::string> aKeys, std::size_t aMaxGroups = 4)
{
  return SessionTokenCodec({ std::move(aKeys), aMaxGroups });
}

SessionToken
Token()
{
  SessionToken token;
  token.Raise(kPond, { 3, 17 });
  token.Raise(kCrier, { 1, 900 });
  return token;
}

std::string
Bytes(const SessionTokenCodec& aCodec, const SessionToken& aToken)
{
  return std::get<std::string>(aCodec.Encode(aToken));
}

} // namespace

// Guards against a session that loses a newer write when the tokens of two calls are
// merged.
TEST_CASE("merging takes the higher position of each group")
{
  SessionToken token = Token();
  SessionToken other;
  other.Raise(kPond, { 2, 99 });
  other.Raise(kCrier, { 1, 901 });
  token.Merge(other);
  CHECK(token.PositionOf(kPond) == LogPosition{ 3, 17 });
  CHECK(token.PositionOf(kCrier) == LogPosition{ 1, 901 });
  CHECK(token.PositionOf(GroupId("other")) == LogPosition{});
}

// Guards against tokens that become invalid when keys are rotated.
TEST_CASE("a token can be decoded with its signing key and after key rotation")
{
  const auto bytes = Bytes(Codec({ "old" }), Token());
  CHECK(std::get<SessionToken>(Codec({ "old" }).Decode(bytes)) == Token());
  CHECK(std::get<SessionToken>(Codec({ "new", "old" }).Decode(bytes)) == Token());
  CHECK(std::get<TokenFault>(Codec({ "new" }).Decode(bytes)) == TokenFault::BadChecksum);
  CHECK(Bytes(Codec({ "old", "new" }), Token()) == bytes);
  CHECK(std::get<SessionToken>(Codec({ "old" }).Decode("")) == SessionToken());
  CHECK(Bytes(Codec({ "old" }), SessionToken()).empty());
  CHECK_THROWS(Codec({}));
  CHECK_THROWS(Codec({ "key", "" }));
}

// Guards against an invalid token that is accepted, or treated as a new session.
TEST_CASE("each kind of invalid token is refused with its fault")
{
  const auto codec = Codec({ "key" });
  const auto good = Bytes(codec, Token());
  auto otherVersion = good;
  otherVersion[0] = 2;
  auto damaged = good;
  damaged[8] ^= 1;
  const struct
  {
    const char* mName;
    std::string mBytes;
    TokenFault mFault;
  } rows[] = {
    { "one byte", "x", TokenFault::Truncated },
    { "one byte shorter than the shortest token",
      good.substr(0, 34),
      TokenFault::Truncated },
    { "last byte missing", good.substr(0, good.size() - 1), TokenFault::BadChecksum },
    { "additional byte at the end", good + "x", TokenFault::BadChecksum },
    { "oversized", std::string(100'000, '\1'), TokenFault::Oversized },
    { "unknown version", otherVersion, TokenFault::UnknownVersion },
    { "damaged", damaged, TokenFault::BadChecksum },
    { "signed with an unknown key",
      Bytes(Codec({ "forger" }), Token()),
      TokenFault::BadChecksum },
  };
  for (const auto& row : rows) {
    INFO(row.mName);
    CHECK(std::get<TokenFault>(codec.Decode(row.mBytes)) == row.mFault);
    CHECK_FALSE(Describe(row.mFault).empty());
  }
}

// Guards against a full token that silently drops the position of another group.
TEST_CASE("a full token accepts no further group")
{
  const auto codec = Codec({ "key" }, 2);
  auto token = Token();
  CHECK(codec.HasRoomFor(token, kPond));
  CHECK_FALSE(codec.HasRoomFor(token, GroupId("third")));
  token.Raise(GroupId("third"), { 1, 1 });
  CHECK(std::get<TokenFault>(codec.Encode(token)) == TokenFault::TooManyGroups);
  CHECK(std::get<TokenFault>(codec.Decode(Bytes(Codec({ "key" }, 3), token))) ==
        TokenFault::TooManyGroups);
}

// Guards against a modified token that raises or lowers a position undetected.
TEST_CASE("no mutated token is accepted")
{
  const auto codec = Codec({ "key", "older" });
  const auto good = Bytes(codec, Token());
  std::mt19937_64 random(20261204);
  for (int round = 0; round < 20'000; ++round) {
    auto bytes = good;
    const auto changes = 1 + random() % 4;
    for (std::uint64_t i = 0; i < changes && !bytes.empty(); ++i) {
      const auto at = random() % bytes.size();
      switch (random() % 4) {
        case 0:
          bytes[at] = static_cast<char>(bytes[at] ^ (1 << (random() % 8)));
          break;
        case 1:
          bytes.erase(at, 1 + random() % 8);
          break;
        case 2:
          bytes.insert(at, 1, static_cast<char>(random()));
          break;
        default:
          std::swap(bytes[at], bytes[random() % bytes.size()]);
          break;
      }
    }
    if (bytes == good || bytes.empty()) {
      continue;
    }
    INFO("round " << round);
    REQUIRE(std::holds_alternative<TokenFault>(codec.Decode(bytes)));
  }
}
