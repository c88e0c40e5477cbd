// Streams on loopback: an exception in what one of them brings ends that stream only.

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

/** @return a port that is free now */
std::string
FreeAddress()
{
  Poco::Net::ServerSocket socket(Poco::Net::SocketAddress("127.0.0.1", 0));
  return socket.address().toString();
}

} // namespace

// Guards against one malformed message that ends a process with all its sessions.
TEST_CASE("a hook that throws ends its stream, and the others are served")
{
  EventLoop loop;
  StreamTable streams(loop, 100);
  std::vector<std::string> failures;
  loop.SetFailureHook(
    [&](std::string_view, std::string_view aWhy) { failures.emplace_back(aWhy); });
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

TEST_CASE("without a failure hook an exception leaves the loop")
{
  EventLoop loop;
  REQUIRE_THROWS(loop.RunGuarded("task", [] { throw std::runtime_error("failed"); }));
}
