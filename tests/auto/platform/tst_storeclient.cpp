// Tests of calls to the store that are affected by its return to an older state while
// they are on their way.

#include "eventloop/streamtable.h"
#include "platform/storeclient.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <catch2/catch.hpp>

#include <optional>
#include <string>

using namespace papayaspindle;
using namespace papayaspindle::platform;
using namespace std::chrono_literals;

namespace {

/** A client of a store whose answers the test gives. */
struct StoreFixture
{
  void Run(Duration aTime)
  {
    for (const TimePoint end = EventLoop::Now() + aTime; EventLoop::Now() < end;) {
      mStreams.Flush();
      mLoop.RunOnce(EventLoop::Now() + 1ms);
      mClient.OnTimer(EventLoop::Now());
    }
  }

  void Write()
  {
    proxy::ConditionalWrite write;
    write.mRow.mTable = "table";
    write.mRow.mKey = "key";
    write.mRow.mRevision = 7;
    write.mRow.mIncarnation = 3;
    mClient.Write(
      write, EventLoop::Now(), [this](const auto& aResult) { mResult = aResult; });
  }

  Poco::Net::ServerSocket mServer{ Poco::Net::SocketAddress("127.0.0.1:0") };
  EventLoop mLoop;
  StreamTable mStreams{ mLoop, 16 };
  StoreClient mClient{ mStreams, mServer.address().toString(), "127.0.0.1:1", {} };
  std::optional<proxy::WriteResult> mResult;
};

} // namespace

// Guards against a write whose connection opens after the store's return: the revision
// that it expects may have been given out again to another row.
TEST_CASE("a write of an earlier incarnation is not sent when its connection opens")
{
  const bool returns = GENERATE(false, true);
  StoreFixture fixture;
  fixture.mClient.SetIncarnation(3);
  fixture.Write();
  if (returns) {
    fixture.mClient.SetIncarnation(4);
  }
  fixture.Run(50ms);
  Poco::Net::StreamSocket connection = fixture.mServer.acceptConnection();
  connection.setReceiveTimeout(Poco::Timespan(0, 200'000));
  char buffer[1024];
  int received = 0;
  try {
    received = connection.receiveBytes(buffer, sizeof(buffer));
  } catch (const Poco::Exception&) {
    // Nothing was sent, and the connection may have been reset.
  }
  REQUIRE((received > 0) == !returns);
  REQUIRE(fixture.mResult.has_value() == returns);
  if (returns) {
    REQUIRE(std::holds_alternative<proxy::StoreFailure>(*fixture.mResult));
  }
}
