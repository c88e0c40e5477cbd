#include "decision/session/sessiontokencodec.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <algorithm>
#include <array>
#include <optional>
#include <stdexcept>
#include <utility>

namespace papayaspindle {

namespace {

constexpr char kVersion = 1;
constexpr std::size_t kChecksumBytes = 32;
constexpr std::size_t kVersionBytes = 1;
constexpr std::size_t kLengthBytes = 2;
constexpr std::size_t kNumberBytes = 8;
constexpr std::size_t kHeaderBytes = kVersionBytes + kLengthBytes;
// The checks of configuration changes refuse longer group names.
constexpr std::size_t kMaxNameBytes = 128;
constexpr std::size_t kMaxGroupBytes = kLengthBytes + kMaxNameBytes + 2 * kNumberBytes;
constexpr unsigned kBitsPerByte = 8;

std::string
Checksum(const std::string& aKey, std::string_view aBody)
{
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int length = 0;
  HMAC(EVP_sha256(),
       aKey.data(),
       static_cast<int>(aKey.size()),
       reinterpret_cast<const unsigned char*>(aBody.data()),
       aBody.size(),
       digest.data(),
       &length);
  return { reinterpret_cast<const char*>(digest.data()), length };
}

void
AppendNumber(std::string& aBytes, std::uint64_t aNumber, std::size_t aWidth)
{
  for (std::size_t i = aWidth; i > 0; --i) {
    aBytes.push_back(static_cast<char>(aNumber >> (kBitsPerByte * (i - 1))));
  }
}

/** Reads fields from the content of a token, one after the other. */
class FieldReader
{
public:
  explicit FieldReader(std::string_view aBytes)
    : mRest(aBytes)
  {
  }

  std::optional<std::string_view> Bytes(std::size_t aLength)
  {
    if (mRest.size() < aLength) {
      return std::nullopt;
    }
    const auto taken = mRest.substr(0, aLength);
    mRest.remove_prefix(aLength);
    return taken;
  }

  std::optional<std::uint64_t> Number(std::size_t aWidth)
  {
    const auto bytes = Bytes(aWidth);
    if (!bytes) {
      return std::nullopt;
    }
    std::uint64_t number = 0;
    for (const char byte : *bytes) {
      number = (number << kBitsPerByte) | static_cast<unsigned char>(byte);
    }
    return number;
  }

  [[nodiscard]] bool IsAtEnd() const { return mRest.empty(); }

private:
  std::string_view mRest;
};

struct GroupEntry
{
  GroupId mGroup;
  LogPosition mPosition;
};

std::optional<GroupEntry>
ReadEntry(FieldReader& aFields)
{
  const auto length = aFields.Number(kLengthBytes);
  if (!length || *length == 0 || *length > kMaxNameBytes) {
    return std::nullopt;
  }
  const auto name = aFields.Bytes(*length);
  const auto term = aFields.Number(kNumberBytes);
  const auto index = aFields.Number(kNumberBytes);
  if (!name || !term || !index || (*term == 0 && *index == 0)) {
    return std::nullopt;
  }
  return GroupEntry{ GroupId(std::string(*name)), LogPosition{ *term, *index } };
}

std::optional<SessionToken>
ReadEntries(FieldReader& aFields, std::uint64_t aCount)
{
  SessionToken token;
  GroupId previous;
  for (std::uint64_t i = 0; i < aCount; ++i) {
    const auto entry = ReadEntry(aFields);
    if (!entry || entry->mGroup <= previous) {
      return std::nullopt;
    }
    token.Raise(entry->mGroup, entry->mPosition);
    previous = entry->mGroup;
  }
  return aFields.IsAtEnd() ? std::optional(token) : std::nullopt;
}

} // namespace

std::string_view
Describe(TokenFault aFault)
{
  switch (aFault) {
    case TokenFault::Truncated:
      return "the session token is truncated";
    case TokenFault::Oversized:
      return "the session token is too long";
    case TokenFault::UnknownVersion:
      return "the session token has an unknown version";
    case TokenFault::BadChecksum:
      return "the session token is damaged or forged";
    case TokenFault::Malformed:
      return "the session token is malformed";
    case TokenFault::TooManyGroups:
      return "the session token holds as many database groups as it can";
  }
  return "the session token is refused";
}

SessionTokenCodec::SessionTokenCodec(SessionTokenSettings aSettings)
  : mSettings(std::move(aSettings))
{
  const bool hasEmptyKey = std::any_of(mSettings.mKeys.begin(),
                                       mSettings.mKeys.end(),
                                       [](const auto& aKey) { return aKey.empty(); });
  if (mSettings.mKeys.empty() || hasEmptyKey) {
    throw std::invalid_argument("session tokens need at least one key and no empty key");
  }
}

SessionTokenCodec::EncodeResult
SessionTokenCodec::Encode(const SessionToken& aToken) const
{
  if (aToken.All().empty()) {
    return std::string();
  }
  if (aToken.All().size() > mSettings.mMaxGroups) {
    return TokenFault::TooManyGroups;
  }
  std::string bytes(1, kVersion);
  AppendNumber(bytes, aToken.All().size(), kLengthBytes);
  for (const auto& [group, position] : aToken.All()) {
    if (group.IsEmpty() || group.Text().size() > kMaxNameBytes) {
      return TokenFault::Malformed;
    }
    AppendNumber(bytes, group.Text().size(), kLengthBytes);
    bytes += group.Text();
    AppendNumber(bytes, position.mTerm, kNumberBytes);
    AppendNumber(bytes, position.mIndex, kNumberBytes);
  }
  return bytes + Checksum(mSettings.mKeys.front(), bytes);
}

SessionTokenCodec::DecodeResult
SessionTokenCodec::Decode(std::string_view aBytes) const
{
  if (aBytes.empty()) {
    return SessionToken();
  }
  if (aBytes.size() < kHeaderBytes + kChecksumBytes) {
    return TokenFault::Truncated;
  }
  if (aBytes.size() >
      kHeaderBytes + mSettings.mMaxGroups * kMaxGroupBytes + kChecksumBytes) {
    return TokenFault::Oversized;
  }
  if (aBytes.front() != kVersion) {
    return TokenFault::UnknownVersion;
  }
  const auto body = aBytes.substr(0, aBytes.size() - kChecksumBytes);
  if (!HasValidChecksum(body, aBytes.substr(body.size()))) {
    return TokenFault::BadChecksum;
  }
  FieldReader fields(body.substr(kVersionBytes));
  const auto count = fields.Number(kLengthBytes);
  if (!count || *count == 0) {
    return TokenFault::Malformed;
  }
  if (*count > mSettings.mMaxGroups) {
    return TokenFault::TooManyGroups;
  }
  const auto token = ReadEntries(fields, *count);
  if (!token) {
    return TokenFault::Malformed;
  }
  return *token;
}

bool
SessionTokenCodec::HasRoomFor(const SessionToken& aToken, const GroupId& aGroup) const
{
  return aToken.Holds(aGroup) || aToken.All().size() < mSettings.mMaxGroups;
}

bool
SessionTokenCodec::HasValidChecksum(std::string_view aBody,
                                    std::string_view aChecksum) const
{
  return std::any_of(
    mSettings.mKeys.begin(), mSettings.mKeys.end(), [&](const std::string& aKey) {
      const auto expected = Checksum(aKey, aBody);
      // The comparison takes constant time, so that its duration tells an attacker
      // nothing about the expected checksum.
      return expected.size() == aChecksum.size() &&
             CRYPTO_memcmp(expected.data(), aChecksum.data(), expected.size()) == 0;
    });
}

} // namespace papayaspindle
