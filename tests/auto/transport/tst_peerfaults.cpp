#include "core/timetypes.h"
#include "transport/peerfixture.h"
#include "transport/rawpeer.h"

#include <catch2/catch.hpp>

#include <future>
#include <iterator>

using namespace papayaspindle;
using namespace papayaspindle::test;

namespace {

constexpr std::size_t kLimit = 1'000;
// Long enough for a ping and its answer.
constexpr std::chrono::milliseconds kPinged{ 1'000 };
const std::string kBody = "the whole answer";

PeerClientSettings
Settings()
{
  PeerClientSettings settings;
  settings.mMaxMessageBytes = kLimit;
  return settings;
}

struct AnswerFault
{
  const char* mName;
  ErrorKind mKind;
  /** Makes what the peer sends for the request on a stream. */
  std::string (*mAnswer)(std::int32_t);
  /** The peer then closes the connection. */
  bool mCloses = false;
};

const AnswerFault kAnswerFaults[] = {
  { "truncated, with the check of the whole",
    ErrorKind::OutcomeUnknown,
    [](std::int32_t aStream) {
      return Reply(aStream, kBody.substr(0, 5), aStream, kBody);
    } },
  { "truncated, without a check",
    ErrorKind::OutcomeUnknown,
    [](std::int32_t aStream) {
      return Frame(kHeadersFrame, kEndHeaders, aStream, "\x88") +
             Frame(kDataFrame, kEndStream, aStream, kBody.substr(0, 5));
    } },
  { "no body and no check",
    ErrorKind::OutcomeUnknown,
    [](std::int32_t aStream) {
      return Frame(kHeadersFrame, kEndHeaders | kEndStream, aStream, "\x88");
    } },
  { "damaged",
    ErrorKind::OutcomeUnknown,
    [](std::int32_t aStream) {
      return Reply(aStream, "the whole amswer", aStream, kBody);
    } },
  { "another request's",
    ErrorKind::OutcomeUnknown,
    [](std::int32_t aStream) { return Reply(aStream, kBody, aStream + 2, kBody); } },
  { "oversized",
    ErrorKind::AnswerTooLarge,
    [](std::int32_t aStream) { return Reply(aStream, std::string(kLimit + 1, 'x')); } },
  { "cut off by the end of the connection",
    ErrorKind::OutcomeUnknown,
    [](std::int32_t aStream) {
      const std::string reply = Reply(aStream, kBody);
      return reply.substr(0, reply.size() - 3);
    },
    true },
  { "cut off by the end of the stream",
    ErrorKind::OutcomeUnknown,
    [](std::int32_t aStream) {
      return Frame(kHeadersFrame, kEndHeaders, aStream, "\x88") +
             Frame(kDataFrame, 0, aStream, kBody) +
             Frame(kResetFrame, 0, aStream, Number(8));
    } },
  { "refused before it ran",
    ErrorKind::Draining,
    [](std::int32_t /*aStream*/) {
      return Frame(kGoawayFrame, 0, 0, Number(0) + Number(0));
    } },
  { "an error that is no error",
    ErrorKind::OutcomeUnknown,
    // HPACK: 0x8e is ":status: 500".
    [](std::int32_t aStream) {
      return Frame(kHeadersFrame, kEndHeaders | kEndStream, aStream, "\x8e");
    } },
  { "not HTTP/2",
    ErrorKind::OutcomeUnknown,
    [](std::int32_t /*aStream*/) { return std::string("HTTP/1.1 200 OK\r\n\r\nbody"); } },
};

} // namespace

// Guards against short, damaged or foreign answers that are taken for whole ones.
TEST_CASE("a faulty answer is an error and the next call works", "[transport]")
{
  const auto fault =
    GENERATE(from_range(std::begin(kAnswerFaults), std::end(kAnswerFaults)));
  CAPTURE(fault.mName);
  RawPeer peer([&](RawConnection& aConnection, int aNumber) {
    aConnection.SendSettings();
    std::int32_t stream = aConnection.NextRequest();
    if (aNumber == 1) {
      aConnection.Send(fault.mAnswer(stream));
      stream = fault.mCloses ? 0 : aConnection.NextRequest();
    }
    while (stream != 0) {
      aConnection.Send(Reply(stream, kBody));
      stream = aConnection.NextRequest();
    }
  });
  PeerClient client(Settings());
  const PeerCall call = CallTo(peer.Address(), "Echo", "request");
  CheckError(client.Call(call), fault.mKind);
  const auto reply = client.Call(call);
  REQUIRE(IsOk(reply));
  CHECK(ValueOf(reply) == kBody);
}

// Guards against answers that reach the wrong caller of a shared connection.
TEST_CASE("answers in another order, crossed or doubled reach only their callers",
          "[transport]")
{
  enum class Order
  {
    Reversed,
    Crossed,
    Doubled,
  };
  const auto order = GENERATE(Order::Reversed, Order::Crossed, Order::Doubled);
  CAPTURE(static_cast<int>(order));
  RawPeer peer([&](RawConnection& aConnection, int /*aNumber*/) {
    aConnection.SendSettings();
    while (const std::int32_t first = aConnection.NextRequest()) {
      const std::int32_t second = aConnection.NextRequest();
      const auto body = [](std::int32_t aStream) { return std::to_string(aStream); };
      if (order == Order::Crossed) {
        aConnection.Send(Reply(first, body(second), second, body(second)) +
                         Reply(second, body(first), first, body(first)));
        continue;
      }
      const std::string last = Reply(first, body(first));
      aConnection.Send(Reply(second, body(second)) + last +
                       (order == Order::Doubled ? last : std::string()));
    }
  });
  PeerClient client(Settings());
  const auto call = [&] { return client.Call(CallTo(peer.Address(), "Echo", "r")); };
  for (int round = 0; round < 3; ++round) {
    auto other = std::async(std::launch::async, call);
    const auto one = call();
    const auto two = other.get();
    if (order == Order::Crossed) {
      CheckError(one, ErrorKind::OutcomeUnknown);
      CheckError(two, ErrorKind::OutcomeUnknown);
      continue;
    }
    REQUIRE(IsOk(one));
    REQUIRE(IsOk(two));
    CHECK(ValueOf(one) != ValueOf(two));
  }
}

// Guards against a late answer that is taken for the next request's.
TEST_CASE("a late answer is dropped", "[transport]")
{
  RawPeer peer([&](RawConnection& aConnection, int /*aNumber*/) {
    aConnection.SendSettings();
    const std::int32_t late = aConnection.NextRequest();
    const std::int32_t next = aConnection.NextRequest();
    aConnection.Send(Reply(late, "late") + Reply(next, kBody));
    aConnection.ReadUntilClosed();
  });
  PeerClient client(Settings());
  CheckError(client.Call(CallTo(peer.Address(), "Echo", "a", kPinged)),
             ErrorKind::OutcomeUnknown);
  // The peer answers pings, so the connection stays.
  const auto reply = client.Call(CallTo(peer.Address(), "Echo", "b"));
  REQUIRE(IsOk(reply));
  CHECK(ValueOf(reply) == kBody);
  CHECK(peer.Connections() == 1);
}

// Guards against calls that stay on a connection that is silent for good.
TEST_CASE("a silent connection is replaced", "[transport]")
{
  // The call ends by its own time limit, or earlier by the unanswered ping.
  const auto timeout = GENERATE(kShort, kLong);
  RawPeer peer([&](RawConnection& aConnection, int aNumber) {
    aConnection.SendSettings();
    aConnection.Send(Reply(aConnection.NextRequest(), kBody));
    while (aNumber > 1) {
      const std::int32_t stream = aConnection.NextRequest();
      if (stream == 0) {
        return;
      }
      aConnection.Send(Reply(stream, kBody));
    }
    aConnection.ReadUntilClosed();
  });
  PeerClient client(Settings());
  REQUIRE(IsOk(client.Call(CallTo(peer.Address(), "Echo", "a"))));
  const TimePoint start = Clock::now();
  CheckError(client.Call(CallTo(peer.Address(), "Echo", "b", timeout)),
             ErrorKind::OutcomeUnknown);
  CHECK(Clock::now() - start < kLong);
  while (!IsOk(client.Call(CallTo(peer.Address(), "Echo", "c")))) {
  }
  CHECK(peer.Connections() >= 2);
}

// Guards against a "not sent" for a request that the stopped server had begun.
TEST_CASE("a request that a stopping server cuts off has an unknown outcome",
          "[transport]")
{
  PeerFixture peer;
  std::promise<void> started;
  std::promise<void> release;
  peer.mServer.Register("Slow", [&](const PeerRequest& aRequest) {
    started.set_value();
    release.get_future().wait();
    return aRequest.mBody;
  });
  peer.Start();
  const std::string address = peer.mServer.Address();
  PeerClient client(Settings());
  auto slow = std::async(std::launch::async,
                         [&] { return client.Call(CallTo(address, "Slow", "s")); });
  started.get_future().wait();
  CHECK_FALSE(peer.mServer.Stop(std::chrono::milliseconds(1)));
  CheckError(slow.get(), ErrorKind::OutcomeUnknown);
  CheckError(client.Call(CallTo(address, "Echo", "e")), ErrorKind::PeerUnreachable);
  release.set_value();
}

// Guards against connections that hold a place in the server without ever speaking.
TEST_CASE("a server closes connections that never send a frame", "[transport]")
{
  PeerServerSettings settings;
  settings.mHandshakeTimeout = std::chrono::milliseconds(50);
  PeerFixture peer(settings);
  peer.Start();
  Poco::Net::StreamSocket socket{ Poco::Net::SocketAddress(peer.mServer.Address()) };
  RawConnection connection(socket);
  connection.ReadUntilClosed();
  PeerClient client(Settings());
  CHECK(IsOk(client.Call(CallTo(peer.mServer.Address(), "Echo", "e"))));
}
