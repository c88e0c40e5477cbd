// Tests the queue of operations that wait for a connection, without members or sessions.

#include "proxy/admission/memberthroughput.h"
#include "proxy/admission/operationqueue.h"

#include <catch2/catch.hpp>

#include <set>
#include <string>
#include <vector>

using namespace papayaspindle;
using namespace papayaspindle::proxy;
using namespace std::chrono_literals;

namespace {

using Keys = std::vector<OperationKey>;

const WorkKind kRead{ Consistency::Bounded, false };
const WorkKind kWrite{ Consistency::Primary, false };
const WorkKind kCommit{ Consistency::Primary, true };

QueuedOperation
Entry(OperationKey aKey,
      Duration aArrivedAt,
      const OperationClass& aClass = { 1, kRead, false },
      const std::string& aCustomer = {})
{
  return { aKey, aClass, aCustomer, TimePoint(aArrivedAt), false };
}

/** @return estimates by which reads are shorter than writes, and writes than commits */
WorkEstimates
Estimates()
{
  WorkEstimates estimates;
  estimates.Of(kRead).Add(2ms);
  estimates.Of(kWrite).Add(5ms);
  estimates.Of(kCommit).Add(9ms);
  return estimates;
}

} // namespace

// Guards against kinds of work that share an estimate, and so a place in the queue.
TEST_CASE("each consistency has an estimate of its own, and so have commits")
{
  WorkEstimates estimates;
  std::vector<WorkKind> kinds;
  for (const Consistency consistency :
       { Consistency::Primary, Consistency::Bounded, Consistency::ReadYourWrites }) {
    kinds.push_back({ consistency, false });
    kinds.push_back({ consistency, true });
  }
  Duration took = 1ms;
  for (const WorkKind& kind : kinds) {
    estimates.Of(kind).Add(took);
    took += 1ms;
  }
  took = 1ms;
  for (const WorkKind& kind : kinds) {
    WorkEstimate expected;
    expected.Add(took);
    REQUIRE(estimates.Of(kind).LowerQuartile() == expected.LowerQuartile());
    took += 1ms;
  }
}

// Guards against an order of dispatch in which a less urgent operation goes first. Each
// case differs from the one above it in a criterion of lower rank.
TEST_CASE("dispatch follows the objective, the priority, the usual time and the arrival")
{
  struct Case
  {
    const char* mCriterion;
    QueuedOperation mFirst;
    QueuedOperation mSecond;
  };
  QueuedOperation late = Entry(1, 1ms, { 0, kRead, false });
  late.mIsPastObjective = true;
  const Case cases[] = {
    { "objective", Entry(2, 2ms, { 2, kCommit, true }), late },
    { "priority",
      Entry(2, 2ms, { 0, kCommit, true }),
      Entry(1, 1ms, { 1, kRead, false }) },
    { "usual time",
      Entry(2, 2ms, { 1, kRead, false }),
      Entry(1, 1ms, { 1, kWrite, true }) },
    { "usual time of a commit",
      Entry(2, 2ms, { 1, kWrite, true }),
      Entry(1, 1ms, { 1, kCommit, true }) },
    { "arrival", Entry(1, 1ms), Entry(2, 2ms) },
  };
  for (const Case& next : cases) {
    INFO(next.mCriterion);
    OperationQueue queue;
    const bool isFirstOlder = next.mFirst.mArrivedAt < next.mSecond.mArrivedAt;
    queue.Add(isFirstOlder ? next.mFirst : next.mSecond);
    queue.Add(isFirstOlder ? next.mSecond : next.mFirst);
    REQUIRE(queue.DispatchOrder(Estimates()) ==
            Keys{ next.mFirst.mKey, next.mSecond.mKey });
  }
}

// Guards against an order that was fixed when the operations arrived.
TEST_CASE("dispatch follows the newest estimates")
{
  OperationQueue queue;
  queue.Add(Entry(1, 1ms, { 1, kWrite, true }));
  queue.Add(Entry(2, 2ms, { 1, kRead, false }));
  WorkEstimates estimates;
  estimates.Of(kRead).Add(5ms);
  estimates.Of(kWrite).Add(2ms);
  REQUIRE(queue.DispatchOrder(estimates) == Keys{ 1, 2 });
  REQUIRE(queue.DispatchOrder(Estimates()) == Keys{ 2, 1 });
}

// Guards against a refused operation that goes behind all that arrived since, and against
// new operations that pass those already in the queue because they waited for a token.
TEST_CASE("an operation returns to its place by arrival; a new one goes last")
{
  OperationQueue queue;
  queue.Add(Entry(1, 1ms));
  queue.Add(Entry(2, 2ms));
  queue.Add(Entry(4, 4ms));
  queue.Remove(2);
  queue.AddByArrival(Entry(2, 2ms));
  REQUIRE(queue.DispatchOrder({}) == Keys{ 1, 2, 4 });
  queue.AddByArrival(Entry(3, 2ms));
  REQUIRE(queue.DispatchOrder({}) == Keys{ 1, 2, 3, 4 });
  queue.Add(Entry(5, 0ms));
  REQUIRE(queue.DispatchOrder({}) == Keys{ 1, 2, 3, 4, 5 });
  queue.AddByArrival(Entry(6, 9ms));
  REQUIRE(queue.DispatchOrder({}) == Keys{ 1, 2, 3, 4, 5, 6 });
}

// Guards against an answered operation that is still counted, which would refuse others.
TEST_CASE("a removed operation is neither dispatched nor counted")
{
  OperationQueue queue;
  REQUIRE(queue.IsEmpty());
  queue.Add(Entry(1, 1ms));
  queue.Add(Entry(2, 2ms));
  queue.Remove(1);
  queue.Remove(1);
  queue.Remove(7);
  REQUIRE(queue.Size() == 1);
  REQUIRE(queue.DispatchOrder({}) == Keys{ 2 });
  REQUIRE(queue.CountAhead(3, { 1, kRead, false }, {}) == 1);
  queue.Remove(2);
  REQUIRE(queue.IsEmpty());
}

// Guards against refusals because of operations that run elsewhere, are dispatched later
// or are late already, and against an operation that counts itself.
TEST_CASE("operations ahead compete for the same members and are at least as urgent")
{
  struct Case
  {
    const char* mOther;
    QueuedOperation mEntry;
    std::size_t mAhead;
  };
  const OperationClass own{ 1, kWrite, true };
  QueuedOperation late = Entry(2, 1ms, { 0, kWrite, true });
  late.mIsPastObjective = true;
  const Case cases[] = {
    { "the operation itself", Entry(1, 1ms, own), 0 },
    { "same class, older", Entry(2, 1ms, own), 1 },
    { "same class, newer", Entry(2, 9ms, own), 1 },
    { "higher priority", Entry(2, 9ms, { 0, kCommit, true }), 1 },
    { "lower priority", Entry(2, 1ms, { 2, kRead, true }), 0 },
    { "usually shorter", Entry(2, 9ms, { 1, kRead, true }), 1 },
    { "usually longer", Entry(2, 1ms, { 1, kCommit, true }), 0 },
    { "other members", Entry(2, 1ms, { 0, kRead, false }), 0 },
    { "past its objective", late, 0 },
  };
  for (const Case& next : cases) {
    INFO(next.mOther);
    OperationQueue queue;
    queue.Add(next.mEntry);
    REQUIRE(queue.CountAhead(1, own, Estimates()) == next.mAhead);
  }
}

// Guards against an operation that keeps its place after it has become late.
TEST_CASE("an operation that passes its objective goes behind the others")
{
  OperationQueue queue;
  queue.Add(Entry(1, 1ms));
  queue.Add(Entry(2, 2ms));
  queue.MarkPastObjective(1);
  REQUIRE(queue.DispatchOrder({}) == Keys{ 2, 1 });
  REQUIRE(queue.CountAhead(2, { 1, kRead, false }, {}) == 0);
  REQUIRE(queue.CountAhead(1, { 1, kRead, false }, {}) == 1);
}

// Guards against a prediction that ignores a candidate, its limit or the queue. The
// operation itself counts as one.
TEST_CASE("the predicted wait is the number ahead over the throughput of all candidates")
{
  OperationQueue queue;
  const OperationClass read{ 1, kRead, false };
  REQUIRE(!PredictWait(queue.CountAhead(1, read, {}), {}));
  const MemberThroughput one[] = { { 2, 20ms } };
  REQUIRE(PredictWait(queue.CountAhead(1, read, {}), one) == Duration(10ms));
  queue.Add(Entry(1, 1ms));
  queue.Add(Entry(2, 2ms));
  queue.Add(Entry(3, 3ms));
  REQUIRE(PredictWait(queue.CountAhead(1, read, {}), one) == Duration(30ms));
  const MemberThroughput two[] = { { 2, 20ms }, { 4, 20ms } };
  REQUIRE(PredictWait(queue.CountAhead(1, read, {}), two) == Duration(10ms));
  // A member that has answered nothing yet doesn't make the wait zero.
  const MemberThroughput fast[] = { { 1, 0ms } };
  REQUIRE(PredictWait(queue.CountAhead(1, read, {}), fast) == Duration(3ms));
}

// Guards against connections that are opened for the waiting operations of others.
TEST_CASE("operations are counted by customer and by the members that they need")
{
  OperationQueue queue;
  queue.Add(Entry(1, 1ms, { 1, kRead, false }, "acme"));
  queue.Add(Entry(2, 2ms, { 1, kWrite, true }, "acme"));
  queue.Add(Entry(3, 3ms, { 1, kRead, false }, "acme"));
  queue.Add(Entry(4, 4ms, { 1, kRead, false }, "other"));
  queue.Add(Entry(5, 5ms, { 1, kRead, false }));
  REQUIRE(queue.CountOf("acme", false) == 2);
  REQUIRE(queue.CountOf("acme", true) == 1);
  REQUIRE(queue.CountOf("other", true) == 0);
  REQUIRE(queue.CountOf({}, false) == 1);
  REQUIRE(queue.Customers() == std::set<std::string_view>{ "", "acme", "other" });
  queue.Remove(4);
  REQUIRE(queue.Customers() == std::set<std::string_view>{ "", "acme" });
}
