// Streams over loopback: an exception in the input hook of one stream ends only that
// stream; paused streams, accounted buffers and peers that don't read.

#include "eventloop/streamtable.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <catch2/catch.hpp>

#include <functional>
#include <stdexcept>
#include <string>
#include <vector>

using namespace papayaspindle;
using namespace std::chrono_literals;

namespace {

const StreamLiveness kLiveness{ 1s, 1s, 1s };

/** @return "IP:port" of a currently free port */
std::string
FreeAddress()
{
  Poco::Net::ServerSocket socket(Poco::Net::SocketAddress("127.0.0.1", 0));
  return socket.address().toString();
}

/** A stream that a client has opened over loopback, and the input that it receives. */
struct AcceptedStream
{
  AcceptedStream()
  {
    mStreams.SetAccount(&mAccount);
    StreamHooks hooks;
    hooks.mInput = [this](StreamKey, std::string& aInput) {
      mInput += aInput;
      aInput.erase(0, mTakesInput ? aInput.size() : 0);
    };
    hooks.mEnded = [this](StreamKey) { mEnded++; };
    hooks.mInputUse = MemoryUse::Input;
    hooks.mOutputUse = MemoryUse::Answers;
    const std::string address = FreeAddress();
    mStreams.Listen(address, kLiveness, hooks, [this](StreamKey aKey) { mKey = aKey; });
    mClient.connect(Poco::Net::SocketAddress(address));
    RunUntil([this] { return mKey != 0; });
  }

  /** Runs turns of the loop until the condition holds, at most a fixed number of them.
   * @return whether it holds */
  bool RunUntil(const std::function<bool()>& aCondition)
  {
    for (int turn = 0; turn < 200 && !aCondition(); turn++) {
      mLoop.RunOnce(EventLoop::Now() + 10ms);
      mStreams.Flush();
    }
    return aCondition();
  }

  EventLoop mLoop;
  MemoryAccount mAccount{ 1 << 30 };
  StreamTable mStreams{ mLoop, 100 };
  Poco::Net::StreamSocket mClient;
  StreamKey mKey = 0;
  std::string mInput;
  bool mTakesInput = true;
  std::size_t mEnded = 0;
};

} // namespace

// Guards against a malformed message whose exception ends the process and all its
// sessions.
TEST_CASE("an exception in a stream's hook ends that stream while others are served")
{
  EventLoop loop;
  StreamTable streams(loop, 100);
  std::vector<std::string> failures;
  loop.SetFailureHook(
    [&](std::string_view, std::string_view aReason) { failures.emplace_back(aReason); });
  std::size_t ended = 0;
  StreamHooks hooks;
  hooks.mInput = [&](StreamKey aKey, std::string& aInput) {
    if (aInput == "bad") {
      throw std::runtime_error("not understood");
    }
    streams.Write(aKey, aInput);
    aInput.clear();
  };
  hooks.mEnded = [&](StreamKey) { ended++; };
  const std::string address = FreeAddress();
  streams.Listen(address, kLiveness, hooks, [](StreamKey) {});
  Poco::Net::StreamSocket bad{ Poco::Net::SocketAddress(address) };
  Poco::Net::StreamSocket good{ Poco::Net::SocketAddress(address) };
  bad.sendBytes("bad", 3);
  good.sendBytes("good", 4);
  std::string answer;
  for (int turn = 0; turn < 100 && (answer.size() < 4 || ended == 0); turn++) {
    loop.RunOnce(EventLoop::Now() + 20ms);
    streams.Flush();
    char bytes[16];
    if (good.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) {
      answer.append(bytes, static_cast<std::size_t>(good.receiveBytes(bytes, 16)));
    }
  }
  REQUIRE(answer == "good");
  REQUIRE(ended == 1);
  REQUIRE(failures == std::vector<std::string>{ "not understood" });
}

TEST_CASE("an exception propagates out of the loop without a failure hook")
{
  EventLoop loop;
  REQUIRE_THROWS(loop.RunGuarded("task", [] { throw std::runtime_error("failed"); }));
}

// Guards against reading without limit from a client that pipelines statements.
TEST_CASE("a paused stream receives no input until it is resumed")
{
  AcceptedStream stream;
  stream.mStreams.SetPaused(stream.mKey, true);
  stream.mClient.sendBytes("late", 4);
  for (int turn = 0; turn < 5; turn++) {
    stream.mLoop.RunOnce(EventLoop::Now() + 10ms);
    stream.mStreams.Flush();
  }
  REQUIRE(stream.mInput.empty());
  stream.mStreams.SetPaused(stream.mKey, false);
  REQUIRE(stream.RunUntil([&] { return stream.mInput == "late"; }));
}

// Guards against a connection that occupies its descriptor for ever, or a loop that
// spins, when a client resets its connection while it is paused.
TEST_CASE("a paused stream ends when its connection is reset")
{
  AcceptedStream stream;
  stream.mStreams.SetPaused(stream.mKey, true);
  stream.mClient.setLinger(true, 0);
  stream.mClient.close();
  REQUIRE(stream.RunUntil([&] { return stream.mEnded == 1; }));
  REQUIRE(stream.mStreams.size() == 0);
}

// Guards against a setting for unread answers that has no effect, or that also applies to
// the links between instances.
TEST_CASE("the limit of queued output is set for each use")
{
  constexpr std::size_t kBytes = 1U << 20U;
  AcceptedStream limited;
  limited.mStreams.SetOutputLimit(MemoryUse::Answers, kBytes);
  limited.mStreams.Write(limited.mKey, std::string(kBytes, 'x'));
  limited.mStreams.Write(limited.mKey, "x");
  REQUIRE(limited.RunUntil([&] { return limited.mEnded == 1; }));
  AcceptedStream other;
  other.mStreams.SetOutputLimit(MemoryUse::Links, kBytes);
  other.mStreams.Write(other.mKey, std::string(kBytes, 'x'));
  other.mStreams.Write(other.mKey, "x");
  other.mStreams.Flush();
  REQUIRE(other.mEnded == 0);
  REQUIRE(other.mStreams.size() == 1);
}

// Guards against statements that stay in the buffer of a resumed client until more
// arrive.
TEST_CASE("input that was left is passed on again")
{
  AcceptedStream stream;
  stream.mTakesInput = false;
  stream.mClient.sendBytes("kept", 4);
  REQUIRE(stream.RunUntil([&] { return stream.mInput == "kept"; }));
  REQUIRE(stream.mAccount.Total(MemoryUse::Input) == 4);
  stream.mStreams.SetHeldBytes(stream.mKey, 10);
  REQUIRE(stream.mAccount.Total(MemoryUse::Input) == 14);
  stream.mStreams.SetHeldBytes(stream.mKey, 0);
  stream.mTakesInput = true;
  stream.mStreams.ProcessInput(stream.mKey);
  REQUIRE(stream.mInput == "keptkept");
  REQUIRE(stream.mAccount.Total() == 0);
}

// Guards against bytes of closed clients that stay in the account.
TEST_CASE("queued output is accounted until it is sent or its stream is closed")
{
  AcceptedStream stream;
  stream.mStreams.Write(stream.mKey, std::string(1000, 'x'));
  REQUIRE(stream.mAccount.Total(MemoryUse::Answers) == 1000);
  stream.mStreams.Flush();
  REQUIRE(stream.mAccount.Total() == 0);
  stream.mStreams.Write(stream.mKey, std::string(1000, 'x'));
  stream.mStreams.Close(stream.mKey);
  stream.mStreams.Flush();
  REQUIRE(stream.mAccount.Total() == 0);
}

// Guards against clients that occupy memory with answers that they never read, and
// against closing those that read slowly but without a pause.
TEST_CASE("a stream is stalled when its peer doesn't read all output of a period")
{
  AcceptedStream stream;
  const auto stalledAt = [&](Duration aAfter) {
    return stream.mStreams
      .StalledStreams(MemoryUse::Answers, 10s, TimePoint(1000s) + aAfter)
      .size();
  };
  REQUIRE(stalledAt(0s) == 0);
  // The buffers of a loopback connection hold some megabytes.
  for (int count = 0; count < 100 && stream.mStreams.QueuedOutput(stream.mKey) == 0;
       count++) {
    stream.mStreams.Write(stream.mKey, std::string(1'000'000, 'x'));
    stream.mStreams.Flush();
  }
  REQUIRE(stream.mStreams.QueuedOutput(stream.mKey) > 0);
  REQUIRE(stalledAt(0s) == 0);
  REQUIRE(stalledAt(10s) == 0);
  REQUIRE(stalledAt(11s) == 1);
  std::string bytes(1 << 20, ' ');
  REQUIRE(stream.RunUntil([&] {
    while (stream.mClient.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) {
      stream.mClient.receiveBytes(bytes.data(), static_cast<int>(bytes.size()));
    }
    return stream.mStreams.QueuedOutput(stream.mKey) == 0;
  }));
  REQUIRE(stalledAt(12s) == 0);
}
