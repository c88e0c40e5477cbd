#include "decision/admission/connectionhealth.h"
#include "decision/admission/poolplanner.h"

#include <catch2/catch.hpp>

using namespace papayaspindle;
using namespace std::chrono_literals;

namespace {

const MemberId kA("a");
const MemberId kB("b");

struct PoolCase
{
  const char* mFailure;
  PoolState mState;
  std::vector<PoolStep> mSteps;
  std::uint32_t mDemand;
};

} // namespace

// Guards against a connection that is used after its member stopped answering on it, and
// against working connections that are closed together with the unresponsive one.
TEST_CASE("an unresponsive connection is closed and older ones to its member are probed",
          "[admission]")
{
  ConnectionHealth health;
  const TimePoint start;
  for (const ConnectionHealth::Key key : { 1, 2, 3 }) {
    health.OnOpened(key, kA, start);
  }
  health.OnOpened(4, kB, start);
  health.OnAnswer(3, start + 2s);
  health.OnOpened(5, kA, start + 2s);
  health.Invalidate(1, InvalidationReason::Unresponsive, start + 1s);
  health.Invalidate(1, InvalidationReason::Unclean, start + 9s);
  CHECK(health.InvalidationReasonOf(1) == InvalidationReason::Unresponsive);
  CHECK(health.NextUse(1) == ConnectionUse::Close);
  CHECK(health.NextUse(2) == ConnectionUse::ProbeFirst);
  CHECK(health.NextUse(3) == ConnectionUse::Use);
  CHECK(health.NextUse(4) == ConnectionUse::Use);
  CHECK(health.NextUse(5) == ConnectionUse::Use);
  health.OnAnswer(2, start + 3s);
  CHECK(health.NextUse(2) == ConnectionUse::Use);
  health.OnClosed(2);
  CHECK(health.NextUse(2) == ConnectionUse::Close);
}

// Guards against a connection that is used after an answer that cannot be trusted.
TEST_CASE("an invalid answer makes only its own connection unusable", "[admission]")
{
  const auto reason = GENERATE(InvalidationReason::SequenceMismatch,
                               InvalidationReason::Truncated,
                               InvalidationReason::Oversized,
                               InvalidationReason::Lost,
                               InvalidationReason::Unclean);
  ConnectionHealth health;
  health.OnOpened(1, kA, TimePoint());
  health.OnOpened(2, kA, TimePoint());
  health.Invalidate(1, reason, TimePoint());
  CHECK(health.NextUse(1) == ConnectionUse::Close);
  CHECK(health.NextUse(2) == ConnectionUse::Use);
}

TEST_CASE("the pool plan respects allowance, demand and slots", "[admission]")
{
  const std::vector<PoolCase> cases{
    { "an empty pool that opens connections only on the first request",
      { 8, 2, { { kA }, { kB } } },
      { { kA, 1, 0 }, { kB, 1, 0 } },
      2 },
    { "more than two connections opened concurrently",
      { 8, 4, { { kA, true, 0, 0, 1, 0, 4 }, { kB } } },
      { { kA, 1, 0 } },
      6 },
    { "more connections opened than the member has slots",
      { 9, 2, { { kA, true, 1, 0, 3, 0, 50 }, { kB, true, 0, 1, 0, 0 } } },
      {},
      5 },
    { "connections opened beyond the allowance",
      { 3, 4, { { kA, true, 2, 0, 0, 0, 4 }, { kB, true, 0, 1, 0, 0 } } },
      { { kB, 0, 1 } },
      8 },
    { "connections in use that are closed when the allowance shrinks",
      { 1, 4, { { kA, true, 3, 0, 0, 0 }, { kB, true, 0, 2, 0, 0 } } },
      { { kB, 0, 2 } },
      5 },
    { "idle connections closed although the allowance suffices",
      { 8, 2, { { kA, true, 0, 5, 0, 0 }, { kB, true, 0, 1, 0, 0 } } },
      {},
      2 },
    { "a leaving member that keeps or gets connections",
      { 8, 2, { { kA, false, 1, 2, 0, 0, 3 }, { kB, true, 0, 1, 0, 0 } } },
      { { kA, 0, 2 } },
      2 },
    { "a connection opened before a closing one has ended",
      { 2, 2, { { kA, true, 0, 0, 0, 1, 0 }, { kB, true, 1, 0, 0, 0, 0 } } },
      {},
      3 },
    { "a connection opened without any allowance",
      { 0, 2, { { kA, true, 0, 0, 0, 0, 1 } } },
      {},
      2 },
  };
  for (const PoolCase& c : cases) {
    INFO(c.mFailure);
    const PoolPlan plan = PlanPool(c.mState);
    CHECK(plan.mSteps == c.mSteps);
    CHECK(plan.mDemand == c.mDemand);
  }
}
