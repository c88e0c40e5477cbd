#include "transport/backendfixture.h"
#include "transport/peerfixture.h"

#include <atomic>
#include <future>
#include <thread>
#include <vector>

using namespace papayaspindle;
using namespace papayaspindle::test;

TEST_CASE("a call carries body, trace context and typed errors", "[transport]")
{
  PeerFixture peer;
  std::string traceparent;
  peer.mServer.Register("Trace", [&](const PeerRequest& aRequest) -> Result<std::string> {
    traceparent = aRequest.mTraceparent;
    return Error{ ErrorKind::StaleTerm, "term 4" };
  });
  peer.mServer.Register(
    "Throw", [](const PeerRequest&) -> Result<std::string> { throw std::bad_alloc(); });
  peer.Start();
  PeerClient client{ {} };
  const std::string address = peer.mServer.Address();

  const std::string body = GENERATE(std::string(), std::string(3'000'000, 'x'));
  const auto echo = client.Call(CallTo(address, "Echo", body));
  REQUIRE(IsOk(echo));
  CHECK(ValueOf(echo) == body);

  PeerCall call = CallTo(address, "Trace", "");
  call.mTraceparent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
  const auto refused = client.Call(call);
  CheckError(refused, ErrorKind::StaleTerm);
  CHECK(ErrorOf(refused).mMessage == "term 4");
  CHECK(traceparent == call.mTraceparent);
  CheckError(client.Call(CallTo(address, "Throw", "")), ErrorKind::Internal);
  CheckError(client.Call(CallTo(address, "Absent", "")), ErrorKind::MalformedRequest);
  CHECK(client.Traffic().mConnectionsOpened == 1);
  CHECK(client.Traffic().mRequests == 4);
  CHECK(peer.mServer.Traffic().mBytesIn == client.Traffic().mBytesOut);
}

// Guards against answers that reach another caller when many share a connection.
TEST_CASE("many threads share one connection", "[transport]")
{
  PeerFixture peer;
  peer.mServer.Register("Reverse", [](const PeerRequest& aRequest) {
    return std::string(aRequest.mBody.rbegin(), aRequest.mBody.rend());
  });
  peer.Start();
  PeerClient client{ {} };
  constexpr int kThreads = 8;
  constexpr int kCalls = 200;
  std::atomic<int> matching = 0;
  std::vector<std::thread> threads;
  for (int t = 0; t < kThreads; ++t) {
    threads.emplace_back([&, t] {
      for (int i = 0; i < kCalls; ++i) {
        std::string body = std::to_string(t * kCalls + i) +
                           std::string(static_cast<std::size_t>(i), 'p') + "<";
        const auto reply = client.Call(CallTo(peer.mServer.Address(), "Reverse", body));
        const std::string expected(body.rbegin(), body.rend());
        matching += IsOk(reply) && ValueOf(reply) == expected ? 1 : 0;
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  CHECK(matching == kThreads * kCalls);
  CHECK(client.Traffic().mConnectionsOpened == 1);
}

// Guards against probes that wait behind forwarded statements.
TEST_CASE("an overload of Forward does not delay control methods", "[transport]")
{
  PeerFixture peer;
  std::promise<void> release;
  std::shared_future<void> released = release.get_future().share();
  std::atomic<int> running = 0;
  peer.mServer.Register("Forward", [&](const PeerRequest& aRequest) {
    running++;
    released.wait();
    return aRequest.mBody;
  });
  peer.Start();
  PeerClient client{ {} };
  const std::string address = peer.mServer.Address();
  std::vector<std::future<Result<std::string>>> forwards;
  constexpr int kThreads = 2;
  constexpr int kForwards = 100;
  for (int i = 0; i < kForwards; ++i) {
    forwards.push_back(std::async(
      std::launch::async, [&] { return client.Call(CallTo(address, "Forward", "f")); }));
    // A request that no thread has taken yet occupies one of the 64 places.
    while (i == kThreads - 1 && running < kThreads) {
      std::this_thread::yield();
    }
  }
  CHECK(IsOk(client.Call(CallTo(address, "Echo", "probe"))));
  // 2 threads and 64 places take 66 requests; the rest is refused at once.
  int refused = 0;
  while (refused < kForwards - 66) {
    refused = 0;
    for (auto& forward : forwards) {
      refused += forward.wait_for(std::chrono::seconds(0)) == std::future_status::ready;
    }
  }
  CHECK(IsOk(client.Call(CallTo(address, "Echo", "probe"))));
  release.set_value();
  int answered = 0;
  for (auto& forward : forwards) {
    const auto reply = forward.get();
    answered += IsOk(reply) ? 1 : 0;
    if (!IsOk(reply)) {
      CheckError(reply, ErrorKind::Overloaded);
    }
  }
  CHECK(answered == 66);
}

// Guards against a shutdown that cuts requests off or accepts new ones.
TEST_CASE("a stopping server finishes requests in flight", "[transport]")
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
  PeerClient client{ {} };
  auto slow = std::async(std::launch::async,
                         [&] { return client.Call(CallTo(address, "Slow", "s")); });
  started.get_future().wait();
  auto stopped = std::async(std::launch::async, [&] { return peer.mServer.Stop(kLong); });
  // Ends once the server has stopped accepting.
  for (;;) {
    const auto reply = client.Call(CallTo(address, "Echo", "e"));
    if (!IsOk(reply) && ErrorOf(reply).mKind == ErrorKind::PeerUnreachable) {
      break;
    }
    if (!IsOk(reply)) {
      CheckError(reply, ErrorKind::Draining);
    }
  }
  release.set_value();
  CHECK(stopped.get());
  const auto reply = slow.get();
  REQUIRE(IsOk(reply));
  CHECK(ValueOf(reply) == "s");
  CHECK(peer.mServer.Traffic().mConnections == 0);
}

TEST_CASE("messages over the limit end in typed errors", "[transport]")
{
  PeerServerSettings serverSettings;
  serverSettings.mMaxMessageBytes = 2'000;
  PeerFixture peer(serverSettings);
  std::atomic<int> runs = 0;
  peer.mServer.Register("Grow", [&](const PeerRequest&) {
    ++runs;
    return std::string(2'001, 'g');
  });
  peer.Start();
  const std::string address = peer.mServer.Address();
  PeerClientSettings clientSettings;
  clientSettings.mMaxMessageBytes = 100'000;
  PeerClient client(clientSettings);
  CheckError(client.Call(CallTo(address, "Grow", std::string(2'001, 'x'))),
             ErrorKind::StatementTooLarge);
  CHECK(runs == 0);
  CheckError(client.Call(CallTo(address, "Grow", "")), ErrorKind::AnswerTooLarge);
  CheckError(client.Call(CallTo(address, "Grow", std::string(100'001, 'x'))),
             ErrorKind::StatementTooLarge);
  CHECK(runs == 1);
  CHECK(IsOk(client.Call(CallTo(address, "Echo", std::string(2'000, 'x')))));
  CHECK(client.Traffic().mConnectionsOpened == 1);
}

TEST_CASE("a peer that cannot be reached ends calls as not sent", "[transport]")
{
  Poco::Net::ServerSocket silent(Poco::Net::SocketAddress("127.0.0.1", 0));
  const std::string address =
    GENERATE(0, 1) == 0 ? ClosedAddress() : silent.address().toString();
  PeerClient client{ {} };
  CheckError(client.Call(CallTo(address, "Echo", "", kShort)),
             ErrorKind::PeerUnreachable);
}
