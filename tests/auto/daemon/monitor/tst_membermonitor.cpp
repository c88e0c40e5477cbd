#include "daemon/monitor/membermonitor.h"
#include "daemon/support/fakehomes.h"
#include "daemon/support/fakemembercontrol.h"
#include "runtime/grouptable.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace papayaspindle;
using namespace std::chrono_literals;

namespace {

const GroupId kGroup("lanes");

/** A monitor whose polls run when the test says so. */
struct Fixture
{
  GroupTable mGroups;
  FakeHomes mHomes;
  FakeMemberControl mMembers;
  TimePoint mNow{ 100s };
  std::vector<std::function<void()>> mTasks;
  MemberMonitor mMonitor{ { mGroups, mHomes, mMembers },
                          {},
                          [this] { return mNow; },
                          [this](std::function<void()> aTask) {
                            mTasks.push_back(std::move(aTask));
                            return true;
                          } };

  Fixture()
  {
    GroupSettings settings{ kGroup };
    settings.mRevision = 1;
    for (const char* name : { "a", "b" }) {
      settings.mMembers.push_back({ MemberId(name), std::string("at-") + name });
      mMembers.mMembers[std::string("at-") + name].mStatus.set_member(name);
    }
    mGroups.OfferSettings(settings);
    mGroups.OfferView({ kGroup, 1, MemberId("a") });
  }

  void RunTasks()
  {
    for (const auto& task : std::exchange(mTasks, {})) {
      task();
    }
  }

  void RunFor(Duration aTime, bool aBusy = false)
  {
    for (const TimePoint end = mNow + aTime; mNow < end; mNow += 25ms) {
      if (aBusy) {
        mMonitor.NoteStatement(kGroup);
      }
      mMonitor.Tick();
      RunTasks();
    }
  }
};

} // namespace

// Guards against a failover that starts late, and against polls that cost idle groups.
TEST_CASE("members are polled at the interval of their role and traffic", "[monitor]")
{
  Fixture fixture;
  fixture.RunFor(2s);
  CHECK(fixture.mMembers.mCalls["Status at-a"] == 8);
  CHECK(fixture.mMembers.mCalls["Status at-b"] == 2);
  fixture.RunFor(2s, true);
  CHECK(fixture.mMembers.mCalls["Status at-b"] == 10);
  fixture.RunFor(3s);
  fixture.mHomes.mRank = 2;
  const int asThirdHome = fixture.mMembers.mCalls["Status at-a"];
  fixture.RunFor(2s);
  CHECK(fixture.mMembers.mCalls["Status at-a"] == asThirdHome + 2);
  fixture.mHomes.mRank = -1;
  fixture.RunFor(2s);
  const int before = fixture.mMembers.mCalls["Status at-a"];
  fixture.RunFor(1s);
  CHECK(fixture.mMembers.mCalls["Status at-a"] == before);
}

// Guards against a pile of calls to a member that hangs, and late notice of an error.
TEST_CASE("an error of traffic polls at once, with one poll in flight", "[monitor]")
{
  Fixture fixture;
  fixture.mMonitor.Tick();
  CHECK(fixture.mTasks.size() == 2);
  fixture.mMonitor.ReportTrafficError(kGroup, MemberId("a"));
  fixture.mNow += 1s;
  fixture.mMonitor.Tick();
  CHECK(fixture.mTasks.size() == 2);
  fixture.RunTasks();
  fixture.mMonitor.Tick();
  fixture.RunTasks();
  fixture.mMonitor.ReportTrafficError(kGroup, MemberId("a"));
  CHECK(fixture.mTasks.size() == 1);
}

// Guards against taking another server's answer, and against losing the kind of failure.
TEST_CASE("listeners get replies, refusals and silence", "[monitor]")
{
  Fixture fixture;
  std::vector<std::string> seen;
  fixture.mMonitor.AddStatusListener([&](const GroupId& aGroup,
                                         const MemberId& aMember,
                                         const v1::StatusReply& aReply,
                                         TimePoint aAskedAt) {
    CHECK(aGroup == kGroup);
    CHECK(aReply.member() == aMember.Text());
    CHECK(aAskedAt == fixture.mNow);
    seen.push_back(aMember.Text() + " answered");
  });
  fixture.mMonitor.AddFailureListener(
    [&](const GroupId&, const MemberId& aMember, PollFailure aFailure) {
      const bool refused = aFailure == PollFailure::Refused;
      seen.push_back(aMember.Text() + (refused ? " refused" : " silent"));
    });
  const auto poll = [&] {
    seen.clear();
    fixture.mNow += 1s;
    fixture.mMonitor.Tick();
    fixture.RunTasks();
    return seen;
  };
  using Seen = std::vector<std::string>;
  CHECK(poll() == Seen{ "a answered", "b answered" });
  fixture.mMembers.mMembers["at-a"].mError = "refused by at-a";
  fixture.mMembers.mMembers["at-b"].mError = "no answer";
  CHECK(poll() == Seen{ "a refused", "b silent" });
  fixture.mMembers.mMembers["at-a"] = fixture.mMembers.mMembers["at-b"] = {};
  fixture.mMembers.mMembers["at-a"].mStatus.set_member("b");
  CHECK(poll() == Seen{ "a silent", "b silent" });
}
