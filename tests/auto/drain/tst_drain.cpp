#include "decision/drain/drainstate.h"
#include "decision/drain/leavingmembers.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace papayaspindle;
using namespace std::chrono_literals;

// Guards against a shutdown that interrupts requests, and against one that never ends.
TEST_CASE("a drain waits for work in flight until the deadline", "[drain]")
{
  struct Case
  {
    std::chrono::milliseconds mAfter;
    WorkInFlight mWork;
    DrainPhase mPhase;
  };
  const std::vector<Case> cases{
    { 0ms, {}, DrainPhase::Announcing },
    { 2999ms, {}, DrainPhase::Announcing },
    { 3000ms, { 1, 0 }, DrainPhase::Draining },
    { 3000ms, { 0, 1 }, DrainPhase::Draining },
    { 3000ms, {}, DrainPhase::Stopped },
    { 29999ms, { 1, 1 }, DrainPhase::Draining },
    { 30000ms, { 1, 1 }, DrainPhase::Stopped },
  };
  for (const Case& row : cases) {
    DrainState state{ DrainSettings() };
    const TimePoint start(1h);
    CHECK(state.Tick(start, {}) == DrainPhase::Serving);
    state.Begin(start);
    state.Begin(start + 1s);
    CHECK(state.Tick(start + row.mAfter, row.mWork) == row.mPhase);
  }
}

// Guards against a drain that refuses the statements of an open transaction, which could
// then never end.
TEST_CASE("an instance refuses new requests while draining and all work once stopped",
          "[drain]")
{
  DrainState state{ DrainSettings() };
  const TimePoint start(1h);
  CHECK(state.Accepts(WorkKind::NewRequest));
  state.Begin(start);
  CHECK(state.Accepts(WorkKind::NewRequest));
  state.Tick(start + 3s, { 1, 1 });
  CHECK_FALSE(state.Accepts(WorkKind::NewRequest));
  CHECK(state.Accepts(WorkKind::OpenTransaction));
  CHECK(state.Accepts(WorkKind::Outcome));
  CHECK(state.Accepts(WorkKind::Control));
  state.Tick(start + 4s, {});
  CHECK_FALSE(state.Accepts(WorkKind::OpenTransaction));
}

// Guards against new work for a backend server that is leaving, and against a mark that
// an older revision of the settings removes.
TEST_CASE("a member is leaving if an operator or its status marks it", "[drain]")
{
  const GroupId group("lanes");
  const MemberId member("m1");
  for (const bool byOperator : { false, true }) {
    for (const bool byStatus : { false, true }) {
      LeavingMembers leaving;
      GroupSettings settings;
      settings.mGroup = group;
      settings.mRevision = 2;
      settings.mMembers = { { member, "10.0.0.1:1", AvailabilityZone("a"), byOperator } };
      leaving.OnSettings(settings);
      leaving.OnMemberStatus(group, member, byStatus);
      CHECK(leaving.IsLeaving(group, member) == (byOperator || byStatus));
      settings.mRevision = 1;
      settings.mMembers[0].mLeaving = !byOperator;
      leaving.OnSettings(settings);
      CHECK(leaving.IsLeaving(group, member) == (byOperator || byStatus));
      settings.mRevision = 3;
      settings.mMembers.clear();
      leaving.OnSettings(settings);
      CHECK_FALSE(leaving.IsLeaving(group, member));
    }
  }
}
