// Tests the counts of connections to one member and the decisions on them, without a
// ProxyCore. tst_proxyconnections tests the events that ProxyCore reports.

#include "proxy/connections/memberpool.h"

#include <catch2/catch.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

using namespace papayaspindle;
using namespace papayaspindle::proxy;
using namespace std::chrono_literals;

namespace {

using Keys = std::vector<ConnectionKey>;

constexpr TimePoint kNow{ std::chrono::hours(1) };

/** The share of an instance of four at a member that accepts 16 connections. */
constexpr PoolShare kShare{ 4, 16, false };
constexpr PoolShare kCustomerShare{ 4, 16, true };

bool
MatchAny(ConnectionKey)
{
  return true;
}

/** Adds idle connections of a customer. */
void
AddIdle(MemberPool& aPool, const Keys& aKeys, const std::string& aCustomer = {})
{
  for (const ConnectionKey key : aKeys) {
    aPool.OnOpening(key, aCustomer);
    aPool.OnReady(key);
    aPool.OnIdle(key, kNow);
  }
}

/** @return request of a customer that the share and the limit of statements permit */
OpeningRequest
Request(std::string_view aCustomer)
{
  OpeningRequest request;
  request.mCustomer = aCustomer;
  request.mShare = kCustomerShare;
  request.mExcluded = { aCustomer };
  request.mLimit = 2;
  return request;
}

enum class Event : std::uint8_t
{
  Ready,
  Idle,
  Refuse,
  FailOpening,
  Remove,
};

/** Reports an event of connection 1. */
void
Report(MemberPool& aPool, Event aEvent)
{
  switch (aEvent) {
    case Event::Ready:
      aPool.OnReady(1);
      break;
    case Event::Idle:
      aPool.OnIdle(1, kNow);
      break;
    case Event::Refuse:
      aPool.OnRefused(1, kCustomerShare, kNow);
      break;
    case Event::FailOpening:
      aPool.OnOpeningFailed(kNow);
      break;
    case Event::Remove:
      aPool.Remove(1);
      break;
  }
}

} // namespace

// Guards against a connection that is given back twice or not at all, after which the
// instance opens more connections than its share or none. Each case is the sequence of
// events of connection 1, some of them late.
TEST_CASE("each end of a connection gives back one connection and one count")
{
  using enum Event;
  struct Case
  {
    const char* mEnd;
    std::vector<Event> mEvents;
    /** Whether the connection is idle afterwards; otherwise it is gone. */
    bool mIsIdle;
  };
  const Case cases[] = {
    { "lost answer", { Ready, Remove }, false },
    { "lost answer, then the connection fails", { Ready, Remove, Remove }, false },
    { "rollback answered", { Ready, Idle }, true },
    { "rollback answered twice", { Ready, Idle, Idle }, true },
    { "rollback not answered, late answer", { Ready, Remove, Idle }, false },
    { "refused opening", { Refuse, Remove }, false },
    { "refused opening, late events", { Refuse, Refuse, Ready, Idle }, false },
    { "failed opening", { FailOpening, Remove }, false },
    { "opening reported twice", { Ready, Ready, Idle }, true },
    { "idle connection closed", { Ready, Idle, Remove }, false },
  };
  for (const Case& next : cases) {
    INFO(next.mEnd);
    MemberPool pool;
    pool.OnOpening(1, "acme");
    AddIdle(pool, { 2 }, "acme");
    AddIdle(pool, { 3 }, "other");
    pool.OnOpening(4, "acme");
    for (const Event event : next.mEvents) {
      Report(pool, event);
    }
    const std::uint32_t left = next.mIsIdle ? 1 : 0;
    REQUIRE(pool.Count() == 3 + left);
    REQUIRE(pool.OpeningCount() == 1);
    REQUIRE(pool.Of("acme").mOpen == 2 + left);
    REQUIRE(pool.Of("acme").mOpening == 1);
    REQUIRE(pool.Of("other").mOpen == 1);
    REQUIRE(pool.IdleCount("acme") == 1 + left);
    REQUIRE(pool.IdleCount("other") == 1);
  }
}

// Guards against more connections than the member accepts from all instances, and against
// openings while the member refuses them.
TEST_CASE("connections are opened up to the share, and borrowed beyond it")
{
  MemberPool pool;
  REQUIRE(pool.MayOpen(kShare, kNow));
  pool.OnOpening(1, {});
  pool.OnOpening(2, {});
  REQUIRE(!pool.MayOpen(kShare, kNow));
  pool.OnReady(1);
  pool.OnReady(2);
  AddIdle(pool, { 3, 4 });
  REQUIRE(pool.MayOpen(kShare, kNow));
  REQUIRE(!pool.MayOpen(kCustomerShare, kNow));
  AddIdle(pool, { 5, 6, 7, 8, 9 });
  REQUIRE(!pool.MayOpen(kShare, kNow));
  REQUIRE(!pool.MayOpen({ 4, 9, false }, kNow));
}

// Guards against a refused borrowed connection that delays openings within the share.
TEST_CASE("a refusal delays borrowing for 1 s, and openings within the share for 0.1 s")
{
  MemberPool pool;
  AddIdle(pool, { 1, 2, 3, 4 });
  pool.OnOpening(5, {});
  pool.OnRefused(5, kShare, kNow);
  REQUIRE(!pool.MayOpen(kShare, kNow + 999ms));
  REQUIRE(pool.MayOpen(kShare, kNow + 1s));
  pool.Remove(4);
  REQUIRE(pool.MayOpen(kShare, kNow));
  pool.OnOpening(6, {});
  pool.OnRefused(6, kShare, kNow);
  REQUIRE(pool.IsPaused(kNow + 99ms));
  REQUIRE(!pool.IsPaused(kNow + 100ms));
  // Where connections bear customers' names, a replaced one is soon closed.
  pool.OnOpening(7, {});
  pool.OnRefused(7, kCustomerShare, kNow);
  REQUIRE(!pool.IsPaused(kNow + 20ms));
}

// Guards against attempts to open connections to a failed member without a pause.
TEST_CASE("the pause doubles with each failed opening until one succeeds")
{
  MemberPool pool;
  for (const Duration pause : { 100ms, 200ms, 400ms, 500ms, 500ms }) {
    pool.OnOpeningFailed(kNow);
    REQUIRE(pool.IsPaused(kNow + pause - 1ms));
    REQUIRE(!pool.IsPaused(kNow + pause));
  }
  AddIdle(pool, { 1 });
  pool.OnOpeningFailed(kNow);
  REQUIRE(!pool.IsPaused(kNow + 100ms));
  pool.ResetBackoff(kNow);
  REQUIRE(!pool.IsPaused(kNow));
}

// Guards against a statement that runs in the name of another customer, and against
// commands that set the session's values again.
TEST_CASE("a statement takes a connection of its customer, preferably a matching one")
{
  MemberPool pool;
  AddIdle(pool, { 1, 2, 3 }, "acme");
  AddIdle(pool, { 4 }, "other");
  REQUIRE(!pool.TakeIdle("third", MatchAny));
  REQUIRE(pool.TakeIdle("acme", [](ConnectionKey aKey) { return aKey == 1; }) == 1U);
  REQUIRE(pool.TakeIdle("acme", [](ConnectionKey) { return false; }) == 3U);
  REQUIRE(pool.TakeIdle("acme", MatchAny) == 2U);
  REQUIRE(!pool.TakeIdle("acme", MatchAny));
  REQUIRE(!pool.HasIdle("acme"));
  REQUIRE(pool.TakeIdle() == 4U);
  REQUIRE(!pool.HasIdle());
  REQUIRE(!pool.TakeIdle());
}

// Guards against a replaced connection whose customer has waiting statements, and against
// the most used one being closed.
TEST_CASE(
  "the least used connection of a customer without waiting statements is replaced")
{
  MemberPool pool;
  AddIdle(pool, { 1 }, "busy");
  AddIdle(pool, { 2 }, "calm");
  AddIdle(pool, { 3 }, "waiting");
  pool.OnUse("busy", kNow);
  OpeningRequest request = Request("acme");
  request.mExcluded.insert("waiting");
  OpeningPlan plan = pool.PlanOpening(request, kNow);
  REQUIRE(plan.mStep == ConnectionStep::Replace);
  REQUIRE(plan.mReplaced == 2U);
  request.mExcluded.insert("calm");
  REQUIRE(pool.PlanOpening(request, kNow).mReplaced == 1U);
  request.mExcluded.insert("busy");
  plan = pool.PlanOpening(request, kNow);
  REQUIRE(plan.mStep == ConnectionStep::Open);
  REQUIRE(!plan.mReplaced);
  request.mInFlight = 2;
  REQUIRE(pool.PlanOpening(request, kNow).mStep == ConnectionStep::Wait);
}

// Guards against openings beyond a number at which the member has just refused one.
TEST_CASE("after a refusal, no connection is opened beyond the number that was accepted")
{
  MemberPool pool;
  AddIdle(pool, { 1 }, "acme");
  pool.OnOpening(2, "other");
  OpeningRequest request = Request("other");
  request.mExcluded.insert("acme");
  REQUIRE(pool.PlanOpening(request, kNow).mStep == ConnectionStep::Open);
  pool.OnRefused(2, kCustomerShare, kNow);
  REQUIRE(pool.PlanOpening(request, kNow + 499ms).mStep == ConnectionStep::Wait);
  REQUIRE(pool.PlanOpening(request, kNow + 500ms).mStep == ConnectionStep::Open);
}

// Guards against an instance that gets no connection at all while another one uses its
// borrowed connections all the time.
TEST_CASE("each refusal beyond the share returns one borrowed connection")
{
  const std::uint32_t connections = GENERATE(4U, 6U);
  MemberPool pool;
  Keys keys;
  for (std::uint32_t key = 1; key <= connections; key++) {
    keys.push_back(key);
  }
  AddIdle(pool, keys);
  REQUIRE(pool.Surplus(kShare, false, kNow).empty());
  pool.OnOpening(9, {});
  pool.OnRefused(9, kShare, kNow);
  // The share itself is kept.
  REQUIRE(pool.Surplus(kShare, false, kNow) == (connections > 4 ? Keys{ 1 } : Keys{}));
  pool.Remove(1);
  REQUIRE(pool.Surplus(kShare, false, kNow).empty());
}

// Guards against unused connections that block other instances, and against a pool that
// is emptied while this instance serves the member.
TEST_CASE("unused connections beyond the retained share are closed")
{
  MemberPool pool;
  AddIdle(pool, { 1, 2, 3, 4 });
  REQUIRE(pool.Surplus(kShare, false, kNow + 250ms).empty());
  REQUIRE(pool.Surplus(kShare, false, kNow + 251ms) == Keys{ 1, 2 });
  REQUIRE(pool.Surplus(PoolShare{ 6, 16, true }, false, kNow + 251ms).empty());
  REQUIRE(pool.Surplus(kShare, true, kNow + 3001ms) == Keys{ 1, 2, 3, 4 });
  REQUIRE(pool.Surplus(std::nullopt, false, kNow) == Keys{ 1, 2, 3, 4 });
}
