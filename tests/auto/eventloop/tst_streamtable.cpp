// Streams over loopback: an exception in the input hook of one stream ends only that
// stream.

#include "eventloop/streamtable.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <catch2/catch.hpp>

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
