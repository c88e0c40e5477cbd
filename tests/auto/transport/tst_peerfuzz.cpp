#include "transport/http2session.h"
#include "transport/peerfixture.h"

#include <Poco/Net/StreamSocket.h>

#include <algorithm>
#include <map>
#include <random>
#include <vector>

using namespace papayaspindle;
using namespace papayaspindle::test;

namespace {

constexpr std::size_t kLimit = 4'096;
constexpr std::size_t kAllBytes = std::size_t{ 1 } << 20;
constexpr int kRounds = 20'000;
constexpr std::uint64_t kSeed = 20'260'712;

using Random = std::mt19937_64;

std::size_t
Below(Random& aRandom, std::size_t aBound)
{
  return aRandom() % aBound;
}

std::string
RandomBytes(Random& aRandom, std::size_t aCount)
{
  std::string bytes(aCount, '\0');
  for (char& byte : bytes) {
    byte = static_cast<char>(aRandom());
  }
  return bytes;
}

/** Changes, removes, repeats or inserts a few bytes. */
std::string
Mutate(std::string aBytes, Random& aRandom)
{
  const std::size_t changes = 1 + Below(aRandom, 4);
  for (std::size_t i = 0; i < changes && !aBytes.empty(); ++i) {
    const std::size_t at = Below(aRandom, aBytes.size());
    const std::size_t count = 1 + Below(aRandom, 24);
    switch (Below(aRandom, 5)) {
      case 0:
        aBytes[at] = static_cast<char>(aRandom());
        break;
      case 1:
        aBytes[at] = static_cast<char>(aBytes[at] ^ (1 << Below(aRandom, 8)));
        break;
      case 2:
        aBytes.erase(at, count);
        break;
      case 3:
        aBytes.insert(at, aBytes.substr(at, count));
        break;
      default:
        aBytes.insert(at, RandomBytes(aRandom, count));
        break;
    }
  }
  return aBytes;
}

/** Feeds bytes in parts, until the session refuses them. */
void
Feed(Http2Session& aSession, const std::string& aBytes, Random& aRandom)
{
  std::string answer;
  std::size_t at = 0;
  while (at < aBytes.size()) {
    const std::size_t count = std::min(1 + Below(aRandom, 200), aBytes.size() - at);
    if (!aSession.Receive(std::string_view(aBytes).substr(at, count))) {
      return;
    }
    at += count;
    if (!aSession.Produce(answer, kAllBytes)) {
      return;
    }
  }
}

using Requests = std::map<std::int32_t, PeerRequest>;
using Replies = std::map<std::int32_t, Result<std::string>>;

std::unique_ptr<Http2Session>
MakeServer(Requests& aReceived)
{
  Http2Hooks hooks;
  hooks.mOnRequest = [&](std::int32_t aStream, PeerRequest aRequest) {
    const bool isNew = aReceived.emplace(aStream, std::move(aRequest)).second;
    CHECK(isNew);
  };
  return std::make_unique<Http2Session>(
    Http2Session::Role::Server, kLimit, std::move(hooks));
}

std::unique_ptr<Http2Session>
MakeClient(Replies& aReceived)
{
  Http2Hooks hooks;
  hooks.mBeforeSend = [](std::int32_t) { return true; };
  hooks.mOnReply = [&](std::int32_t aStream, Result<std::string> aReply) {
    const bool isNew = aReceived.emplace(aStream, std::move(aReply)).second;
    CHECK(isNew);
  };
  return std::make_unique<Http2Session>(
    Http2Session::Role::Client, kLimit, std::move(hooks));
}

/** What both sides of a good exchange send; stream ids are the same in each exchange. */
struct Exchange
{
  std::map<std::int32_t, std::string> mBodies;
  std::string mFromClient;
  std::string mFromServer;
};

std::map<std::int32_t, std::string>
SubmitAll(Http2Session& aClient)
{
  std::map<std::int32_t, std::string> bodies;
  for (const char* text : { "", "probe", "statement" }) {
    std::string body = std::string(text) + std::string(40 * bodies.size(), 'b');
    const std::int32_t stream = aClient.SubmitRequest("Probe", body, "00-trace");
    bodies.emplace(stream, std::move(body));
  }
  return bodies;
}

Exchange
GoodExchange()
{
  Exchange exchange;
  Replies replies;
  Requests requests;
  const auto client = MakeClient(replies);
  const auto server = MakeServer(requests);
  exchange.mBodies = SubmitAll(*client);
  REQUIRE(client->Produce(exchange.mFromClient, kAllBytes));
  REQUIRE(server->Receive(exchange.mFromClient));
  REQUIRE(requests.size() == 3);
  for (const auto& [stream, request] : requests) {
    server->SubmitReply(stream, request.mBody);
  }
  REQUIRE(server->Produce(exchange.mFromServer, kAllBytes));
  REQUIRE(client->Receive(exchange.mFromServer));
  REQUIRE(replies.size() == 3);
  return exchange;
}

} // namespace

// Guards against crashes and against requests that were changed on the way.
TEST_CASE("a server survives damaged bytes and runs no damaged request", "[transport]")
{
  const Exchange good = GoodExchange();
  Random random(kSeed);
  for (int round = 0; round < kRounds; ++round) {
    CAPTURE(kSeed, round);
    Requests received;
    const auto server = MakeServer(received);
    const std::size_t preface = Below(random, 2) * 24;
    Feed(*server,
         round % 4 == 0 ? good.mFromClient.substr(0, preface) + RandomBytes(random, 300)
                        : Mutate(good.mFromClient, random),
         random);
    for (const auto& [stream, request] : received) {
      CHECK(request.mMethod == "Probe");
      CHECK(good.mBodies.at(stream) == request.mBody);
    }
  }
}

// Guards against crashes and against answers that were changed on the way.
TEST_CASE("a client survives damaged bytes and accepts no damaged answer", "[transport]")
{
  const Exchange good = GoodExchange();
  Random random(kSeed + 1);
  int accepted = 0;
  for (int round = 0; round < kRounds; ++round) {
    CAPTURE(kSeed, round);
    Replies received;
    const auto client = MakeClient(received);
    SubmitAll(*client);
    std::string sent;
    REQUIRE(client->Produce(sent, kAllBytes));
    Feed(*client,
         round % 4 == 0 ? RandomBytes(random, 300) : Mutate(good.mFromServer, random),
         random);
    for (const auto& [stream, reply] : received) {
      if (IsOk(reply)) {
        ++accepted;
        CHECK(good.mBodies.at(stream) == ValueOf(reply));
      }
    }
  }
  // Answers before the damaged place are whole.
  CHECK(accepted > 0);
}

TEST_CASE("a listener survives damaged connections", "[transport]")
{
  PeerFixture peer;
  peer.Start();
  const Exchange good = GoodExchange();
  Random random(kSeed + 2);
  for (int round = 0; round < 200; ++round) {
    Poco::Net::StreamSocket socket{ Poco::Net::SocketAddress(peer.mServer.Address()) };
    const std::string bytes = Mutate(good.mFromClient, random);
    socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
  }
  PeerClient client{ {} };
  CHECK(IsOk(client.Call(CallTo(peer.mServer.Address(), "Echo", "e"))));
}
