#include "daemon/failover/failovermanager.h"
#include "daemon/monitor/membermonitor.h"
#include "daemon/support/fakehomes.h"
#include "daemon/support/fakeinstances.h"
#include "daemon/support/fakemembercontrol.h"
#include "daemon/support/fakepeers.h"
#include "daemon/support/faketablestore.h"
#include "observe/tracer.h"
#include "peer.pb.h"
#include "runtime/grouptable.h"

#include <catch2/catch.hpp>

#include <random>

using namespace papayaspindle;
using namespace std::chrono_literals;

namespace {

const GroupId kGroup("lanes");

/** A manager over fakes; its calls run when the test advances the clock. */
struct Fixture
{
  GroupTable mGroups;
  FakeHomes mHomes;
  FakeInstances mInstances;
  FakeMemberControl mMembers;
  FakePeers mPeers;
  FakeTableStore mStore;
  std::string mSpans;
  Tracer mTracer{ "i1", [this](std::string_view aLine) { mSpans += aLine; }, nullptr };
  TimePoint mNow{ 100s };
  std::vector<std::function<void()>> mTasks;
  SubmitHook mSubmit = [this](std::function<void()> aTask) {
    mTasks.push_back(std::move(aTask));
    return true;
  };
  MemberMonitor mMonitor{ { mGroups, mHomes, mMembers },
                          {},
                          [this] { return mNow; },
                          mSubmit };
  std::unique_ptr<FailoverManager> mManager;

  explicit Fixture(std::uint64_t aTerm)
  {
    mInstances.mInstances = { { InstanceId("i1"), AvailabilityZone("z1"), "peer-1" },
                              { InstanceId("i2"), AvailabilityZone("z2"), "peer-2" } };
    mHomes.mHomes = { InstanceId("i1"), InstanceId("i2") };
    GroupSettings settings{ kGroup };
    settings.mRevision = 1;
    for (const std::string name : { "a", "b", "c" }) {
      settings.mMembers.push_back({ MemberId(name), "at-" + name });
      v1::StatusReply& status = Member(name).mStatus;
      status.set_member(name);
      status.set_term(aTerm);
      status.set_primary("a");
      const bool leads = aTerm > 0 && name == "a";
      status.set_role(leads       ? v1::MEMBER_ROLE_PRIMARY
                      : aTerm > 0 ? v1::MEMBER_ROLE_REPLICA
                                  : v1::MEMBER_ROLE_FENCED);
    }
    Member("c").mStatus.mutable_last()->set_term(aTerm);
    Member("c").mStatus.mutable_last()->set_index(4);
    mGroups.OfferSettings(settings);
    mPeers.mAnswers["ConfirmSuspicion"] = [](const PeerCall& aCall) {
      CHECK(aCall.mAddress == "peer-2");
      v1::ConfirmSuspicionReply reply;
      reply.set_silence_ms(900);
      reply.set_term(1);
      return reply.SerializeAsString();
    };
    const FailoverManager::References references{ mGroups,  mHomes,   mInstances,
                                                  mMembers, mMonitor, mPeers,
                                                  mPeers,   mStore,   mTracer };
    mManager = std::make_unique<FailoverManager>(
      references,
      FailoverManagerSettings{},
      FailoverHooks{ [this] { return mNow; }, std::mt19937_64(3), mSubmit });
  }

  FakeMemberControl::Member& Member(const std::string& aName)
  {
    return mMembers.mMembers["at-" + aName];
  }

  void RunFor(Duration aTime)
  {
    for (const TimePoint end = mNow + aTime; mNow < end; mNow += 50ms) {
      mMonitor.Tick();
      mManager->Tick();
      RunTasks();
    }
  }

  void RunTasks()
  {
    while (!mTasks.empty()) {
      for (const auto& task : std::exchange(mTasks, {})) {
        task();
      }
    }
  }

  std::uint64_t RecordedTerm()
  {
    v1::GroupView view;
    view.ParseFromString(mStore.mRows[{ "groups", "lanes" }].value());
    return view.term();
  }
};

} // namespace

// Guards against a failover that is decided and not carried out, or not reported.
TEST_CASE("a dead primary is replaced, announced, recorded and reported", "[failover]")
{
  Fixture fixture(1);
  fixture.RunFor(1s);
  CHECK(fixture.mGroups.View(kGroup) == GroupView{ kGroup, 1, MemberId("a") });
  CHECK(fixture.RecordedTerm() == 1);
  fixture.mStore.mLoseAnswer = true;
  fixture.Member("a").mError = "refused by at-a";
  fixture.mPeers.mCalls.clear();
  fixture.RunFor(2s);
  CHECK(fixture.mGroups.View(kGroup) == GroupView{ kGroup, 2, MemberId("c") });
  CHECK(fixture.Member("c").mStatus.role() == v1::MEMBER_ROLE_PRIMARY);
  CHECK(fixture.Member("b").mStatus.primary() == "c");
  CHECK(fixture.RecordedTerm() == 2);
  CHECK(fixture.mPeers.mCalls.back().mMethod == "GroupViewUpdate");
  const auto report = fixture.mManager->LastFailover(kGroup);
  REQUIRE(report);
  CHECK(report->old_primary() == "a");
  CHECK(report->new_primary() == "c");
  CHECK(report->steps().rbegin()->event() == "view announced");
  CHECK(report->steps().rbegin()->at_ms() <= 7000);
  CHECK(fixture.mSpans.find("\"fence\"") != std::string::npos);
  CHECK(fixture.mSpans.find("\"promote\"") != std::string::npos);
  fixture.Member("a").mError.clear();
  fixture.RunFor(1s);
  CHECK(fixture.Member("a").mStatus.primary() == "c");
}

// Guards against a failover that waits for the table service.
TEST_CASE("the record follows once the table service answers", "[failover]")
{
  Fixture fixture(1);
  fixture.mStore.mDown = true;
  fixture.RunFor(1s);
  fixture.Member("a").mError = "no answer";
  fixture.RunFor(3s);
  CHECK(fixture.mGroups.View(kGroup).mTerm == 2);
  fixture.mStore.mDown = false;
  fixture.RunFor(6s);
  CHECK(fixture.RecordedTerm() == 2);
}

// Guards against an instance that acts on what it knew before a pause.
TEST_CASE("nothing is called while this instance may not act", "[failover]")
{
  Fixture fixture(1);
  fixture.RunFor(1s);
  fixture.mInstances.mMayAct = false;
  fixture.Member("a").mError = "refused by at-a";
  fixture.mPeers.mCalls.clear();
  const int storeCalls = fixture.mStore.mCalls;
  fixture.RunFor(5s);
  CHECK(fixture.mPeers.mCalls.empty());
  CHECK(fixture.mStore.mCalls == storeCalls);
  for (const auto& [call, count] : fixture.mMembers.mCalls) {
    CHECK(call.starts_with("Status "));
  }
  fixture.mInstances.mMayAct = true;
  fixture.RunFor(2s);
  CHECK(fixture.mGroups.View(kGroup).mTerm == 2);
}

// Guards against a new group that stays without a primary.
TEST_CASE("a new group gets its first primary at term 1", "[failover]")
{
  Fixture fixture(0);
  fixture.RunFor(2s);
  CHECK(fixture.mGroups.View(kGroup).mTerm == 1);
  CHECK(fixture.RecordedTerm() == 1);
  const std::string primary = fixture.mGroups.View(kGroup).mPrimary.Text();
  CHECK(fixture.Member(primary).mStatus.role() == v1::MEMBER_ROLE_PRIMARY);
}

// Guards against agreement without evidence, and against views that fall back.
TEST_CASE("peers get this home's evidence and its newer views", "[failover]")
{
  Fixture fixture(1);
  fixture.RunFor(1s);
  v1::ConfirmSuspicionRequest request;
  request.set_group("lanes");
  request.set_member("a");
  const auto ask = [&] {
    const auto answer = fixture.mPeers.mHandlers["ConfirmSuspicion"](
      { "ConfirmSuspicion", request.SerializeAsString(), {} });
    v1::ConfirmSuspicionReply reply;
    REQUIRE(IsOk(answer));
    reply.ParseFromString(ValueOf(answer));
    return reply;
  };
  const int polls = fixture.mMembers.mCalls["Status at-a"];
  CHECK(ask().reachable());
  fixture.RunTasks();
  CHECK(fixture.mMembers.mCalls["Status at-a"] == polls + 1);
  fixture.mHomes.mRank = 1;
  fixture.Member("a").mError = "no answer";
  fixture.RunFor(900ms);
  CHECK_FALSE(ask().reachable());
  CHECK(ask().silence_ms() >= 800);
  request.set_group("unknown");
  CHECK_FALSE(IsOk(fixture.mPeers.mHandlers["ConfirmSuspicion"](
    { "ConfirmSuspicion", request.SerializeAsString(), {} })));

  v1::GroupViewUpdate update;
  const auto offer = [&](std::uint64_t aTerm) {
    update.clear_views();
    v1::GroupView& view = *update.add_views();
    view.set_group("lanes");
    view.set_term(aTerm);
    view.set_primary("b");
    const auto answer = fixture.mPeers.mHandlers["GroupViewUpdate"](
      { "GroupViewUpdate", update.SerializeAsString(), {} });
    v1::GroupViewUpdateReply reply;
    reply.ParseFromString(ValueOf(answer));
    return reply;
  };
  CHECK(offer(5).newer().empty());
  CHECK(fixture.mGroups.View(kGroup) == GroupView{ kGroup, 5, MemberId("b") });
  CHECK(offer(4).newer(0).term() == 5);
}
