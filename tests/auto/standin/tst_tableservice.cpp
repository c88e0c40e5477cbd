#include "localserver.h"
#include "standin/callername.h"
#include "standin/tableservice.h"

#include <catch2/catch.hpp>

#include <optional>

using namespace papayaspindle;
using namespace papayaspindle::standin;

namespace {

constexpr std::chrono::milliseconds kShortDeadline{ 50 };

struct Fixture
{
  FaultSwitches mSwitches;
  TableServiceImpl mService{ mSwitches };
  LocalServer mServer{ mService, mSwitches };
  std::unique_ptr<v1::TableService::Stub> mStub =
    v1::TableService::NewStub(mServer.Channel());

  grpc::Status Put(const std::string& aKey, const std::string& aFrom, bool aMayHang)
  {
    grpc::ClientContext context;
    context.AddMetadata(kFromMetadataKey, aFrom);
    if (aMayHang) {
      context.set_deadline(std::chrono::system_clock::now() + kShortDeadline);
    }
    v1::TransactRequest request;
    request.add_changes()->set_key(aKey);
    v1::TransactReply reply;
    return mStub->Transact(&context, request, &reply);
  }

  bool Exists(const std::string& aKey)
  {
    grpc::ClientContext context;
    v1::TableReadRequest request;
    request.set_key(aKey);
    v1::TableReadReply reply;
    REQUIRE(mStub->Read(&context, request, &reply).ok());
    return reply.row().version() > 0;
  }
};

} // namespace

// Guards against switches that report a fault without causing it.
TEST_CASE("fault switches of the table service", "[standin]")
{
  struct Case
  {
    const char* mName;
    v1::FaultSettings mSettings;
    grpc::StatusCode mStatus;
    /** Nothing where a held call may still be served once the switch is off. */
    std::optional<bool> mTookEffect;
  };
  std::vector<Case> cases(5);
  cases[0] = { "none", {}, grpc::StatusCode::OK, true };
  cases[1] = { "down", {}, grpc::StatusCode::UNAVAILABLE, false };
  cases[1].mSettings.set_down(true);
  cases[2] = { "lost answer", {}, grpc::StatusCode::DEADLINE_EXCEEDED, true };
  cases[2].mSettings.set_lose_answers(1);
  cases[3] = { "frozen", {}, grpc::StatusCode::DEADLINE_EXCEEDED, std::nullopt };
  cases[3].mSettings.set_frozen(true);
  cases[4] = { "cut off", {}, grpc::StatusCode::DEADLINE_EXCEEDED, false };
  cases[4].mSettings.add_cut_off_from("e1");

  Fixture fixture;
  for (const Case& one : cases) {
    CAPTURE(one.mName);
    fixture.mSwitches.Set(one.mSettings);
    const bool hangs = one.mStatus == grpc::StatusCode::DEADLINE_EXCEEDED;
    CHECK(fixture.Put(one.mName, "e1", hangs).error_code() == one.mStatus);
    if (!one.mSettings.down() && !one.mSettings.frozen()) {
      CHECK(fixture.Put("by e2", "e2", false).ok());
      CHECK(fixture.Exists(one.mName) == one.mTookEffect);
    }
    fixture.mSwitches.Set({});
    if (one.mSettings.down()) {
      CHECK_FALSE(fixture.Exists(one.mName));
    }
  }
}
