#include "decision/admission/admissionqueue.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <utility>

using namespace papayaspindle;
using namespace std::chrono_literals;

namespace {

const CallerId kBusy("busy");
const CallerId kQuiet("quiet");

/** A member with two slots and a service time of 10 ms, in simulated steps of 1 ms. */
struct Simulation
{
  AdmissionQueue mQueue{ AdmissionSettings{ 64, 10ms } };
  TimePoint mNow;
  std::map<TicketId, std::pair<CallerId, TimePoint>> mEntered;
  std::multimap<TimePoint, TimePoint> mRunning;
  std::map<CallerId, Duration> mLongestWait;
  int mServed = 0;
  int mRefused = 0;
  int mExpired = 0;

  Simulation() { mQueue.SetConcurrency(2); }

  std::uint32_t Idle() const { return 2 - static_cast<std::uint32_t>(mRunning.size()); }

  void Enter(const CallerId& aCaller, bool aWrite)
  {
    const auto result = mQueue.Enter({ aCaller, aWrite, mNow + 200ms }, Idle(), mNow);
    if (!IsOk(result)) {
      CHECK(ErrorOf(result).mKind == ErrorKind::Overloaded);
      ++mRefused;
      return;
    }
    mEntered[ValueOf(result)] = { aCaller, mNow };
  }

  void Step()
  {
    mNow += 1ms;
    while (!mRunning.empty() && mRunning.begin()->first <= mNow) {
      mQueue.UpdateServiceTime(mNow - mRunning.begin()->second);
      mRunning.erase(mRunning.begin());
      ++mServed;
    }
    mExpired += static_cast<int>(mQueue.Expire(mNow).size());
    while (mRunning.size() < 2) {
      const auto ticket = mQueue.Next();
      if (!ticket) {
        return;
      }
      const auto& [caller, entered] = mEntered[*ticket];
      mLongestWait[caller] = std::max(mLongestWait[caller], mNow - entered);
      mRunning.insert({ mNow + 10ms, mNow });
    }
  }
};

} // namespace

// Guards against requests that are queued although they will miss their deadline, and
// against slots that stay idle under overload.
TEST_CASE("under overload, requests are refused early and the slots stay busy",
          "[admission]")
{
  Simulation simulation;
  for (int ms = 0; ms < 5000; ++ms) {
    simulation.Enter(kBusy, ms % 4 == 0);
    simulation.Step();
  }
  // Two slots serve 200 requests per second, a fifth of the requests that arrive.
  CHECK(simulation.mServed >= 990);
  CHECK(simulation.mExpired <= simulation.mServed / 100);
  CHECK(simulation.mRefused > 3900);
  CHECK(simulation.mLongestWait[kBusy] <= 200ms);
}

// Guards against a caller that starves other callers by sending more requests.
TEST_CASE("a quiet caller waits for at most one request of a busy caller", "[admission]")
{
  Simulation simulation;
  for (int ms = 0; ms < 2000; ++ms) {
    simulation.Enter(kBusy, false);
    if (ms % 100 == 50) {
      simulation.Enter(kQuiet, false);
    }
    simulation.Step();
  }
  // At most the two running requests and one waiting request of the other caller are
  // served before.
  CHECK(simulation.mLongestWait[kQuiet] <= 20ms);
  CHECK(simulation.mLongestWait[kBusy] > 100ms);
  CHECK(simulation.mServed > 390);
}

// Guards against reads that fill the queue so that writes are refused.
TEST_CASE("a quarter of the queue is reserved for writes", "[admission]")
{
  AdmissionQueue queue(AdmissionSettings{ 8, 1us });
  const TimePoint now;
  const TimePoint deadline = now + 1s;
  for (int i = 0; i < 6; ++i) {
    CHECK(IsOk(queue.Enter({ kBusy, false, deadline }, 0, now)));
  }
  CHECK_FALSE(IsOk(queue.Enter({ kQuiet, false, deadline }, 0, now)));
  CHECK(IsOk(queue.Enter({ kBusy, true, deadline }, 0, now)));
  CHECK(IsOk(queue.Enter({ kBusy, true, deadline }, 0, now)));
  const auto full = queue.Enter({ kBusy, true, deadline }, 0, now);
  REQUIRE_FALSE(IsOk(full));
  CHECK(ErrorOf(full).mKind == ErrorKind::Overloaded);
}

// Guards against an order that ignores turns or deadlines, and against expired requests
// that are served.
TEST_CASE("callers take turns and requests of one caller are served by deadline",
          "[admission]")
{
  AdmissionQueue queue(AdmissionSettings{ 16, 1us });
  const TimePoint now;
  const auto enter = [&](const CallerId& aCaller, Duration aLeft) {
    return ValueOf(queue.Enter({ aCaller, false, now + aLeft }, 0, now));
  };
  const TicketId late = enter(kBusy, 900ms);
  const TicketId soon = enter(kBusy, 300ms);
  const TicketId expired = enter(kBusy, 100ms);
  const TicketId quiet = enter(kQuiet, 800ms);
  const TicketId left = enter(kQuiet, 700ms);
  CHECK(queue.Leave(left));
  CHECK_FALSE(queue.Leave(left));
  CHECK(queue.Expire(now + 100ms) == std::vector<TicketId>{ expired });
  CHECK(queue.Next() == soon);
  CHECK(queue.Next() == quiet);
  CHECK(queue.Next() == late);
  CHECK_FALSE(queue.Next());
  const auto past = queue.Enter({ kBusy, false, now }, 1, now);
  CHECK(ErrorOf(past).mKind == ErrorKind::DeadlineBeforeStart);
}
