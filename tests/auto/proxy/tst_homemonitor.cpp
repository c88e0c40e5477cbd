// Tests of the detection of home instances that accept forwarded statements but don't
// respond: a suspended process keeps its connections open.

#include "proxy/homemonitor.h"

#include <catch2/catch.hpp>

#include <set>
#include <vector>

using namespace papayaspindle;
using namespace papayaspindle::proxy;
using namespace std::chrono_literals;

namespace {

/** Runs a monitor against homes that answer pings after a delay, unless suspended. */
struct MonitorSimulation
{
  MonitorSimulation()
    : mMonitor(Hooks())
  {
  }

  HomeMonitorHooks Hooks()
  {
    HomeMonitorHooks hooks;
    hooks.mPing = [this](const std::string& aHome) {
      mPings++;
      if (mUnreachable.contains(aHome)) {
        mFailures.emplace_back(mNow + 250ms, aHome);
      } else {
        mPongs.emplace_back(mNow + mPongDelay, aHome);
      }
    };
    hooks.mOnChanged = [this](const std::string& aHome, bool aIsResponsive) {
      mChanges.emplace_back(aHome, aIsResponsive);
    };
    hooks.mLog = [](LogLevel, std::string_view, std::initializer_list<LogField>) {};
    return hooks;
  }

  /** Ends the connection to a home that has answered all statements, and accepts no
   * further one. */
  void Lose(const std::string& aHome)
  {
    mUnreachable.insert(aHome);
    mMonitor.OnSent(aHome, mNow);
    mMonitor.OnFinished(aHome);
    mMonitor.OnDisconnected(aHome, mNow);
  }

  void Run(Duration aTime)
  {
    const TimePoint end = mNow + aTime;
    while (mNow < end) {
      mNow += 10ms;
      for (const auto& [at, home] : std::exchange(mPongs, {})) {
        if (at > mNow || mSuspended.contains(home)) {
          mPongs.emplace_back(at, home);
        } else {
          mMonitor.OnResponse(home, mNow);
        }
      }
      for (const auto& [at, home] : std::exchange(mFailures, {})) {
        if (at > mNow) {
          mFailures.emplace_back(at, home);
        } else {
          mMonitor.OnDisconnected(home, mNow);
        }
      }
      if (mNow >= mMonitor.NextTimer()) {
        mMonitor.OnTimer(mNow);
      }
    }
  }

  TimePoint mNow{ std::chrono::hours(1) };
  Duration mPongDelay = 5ms;
  std::set<std::string> mSuspended;
  std::set<std::string> mUnreachable;
  std::size_t mPings = 0;
  std::vector<std::pair<TimePoint, std::string>> mPongs;
  /** Attempts to open a connection, by the time at which they fail. */
  std::vector<std::pair<TimePoint, std::string>> mFailures;
  std::vector<std::pair<std::string, bool>> mChanges;
  HomeMonitor mMonitor;
};

} // namespace

TEST_CASE("a suspended home is unresponsive within 400 ms and until it answers a ping")
{
  MonitorSimulation simulation;
  simulation.mSuspended.insert("home");
  simulation.mMonitor.OnSent("home", simulation.mNow);
  simulation.Run(400ms);
  REQUIRE_FALSE(simulation.mMonitor.IsResponsive("home"));
  REQUIRE(simulation.mChanges.size() == 1);
  simulation.mMonitor.OnFinished("home");
  simulation.Run(5s);
  REQUIRE_FALSE(simulation.mMonitor.IsResponsive("home"));
  simulation.mSuspended.clear();
  simulation.Run(500ms);
  REQUIRE(simulation.mMonitor.IsResponsive("home"));
  REQUIRE(simulation.mChanges.size() == 2);
}

// Guards against a home that is taken for suspended while its group has no primary, when
// its answers are late for a reason that every home shares.
TEST_CASE("a home that answers pings while statements wait stays responsive")
{
  MonitorSimulation simulation;
  simulation.mPongDelay = 60ms;
  simulation.mMonitor.OnSent("home", simulation.mNow);
  simulation.Run(5s);
  REQUIRE(simulation.mMonitor.IsResponsive("home"));
  REQUIRE(simulation.mChanges.empty());
}

TEST_CASE("a home that owes no answer isn't pinged")
{
  MonitorSimulation simulation;
  simulation.mMonitor.OnSent("home", simulation.mNow);
  simulation.mMonitor.OnResponse("home", simulation.mNow);
  simulation.mMonitor.OnFinished("home");
  simulation.Run(5s);
  REQUIRE(simulation.mPings == 0);
  REQUIRE(simulation.mMonitor.NextTimer() == TimePoint::max());
}

// Guards against statements that find out again and again that a home behind a partition
// can't be reached, each after the time limit for opening a connection.
TEST_CASE("a home without a connection is unresponsive until a ping opens one")
{
  MonitorSimulation simulation;
  simulation.Lose("home");
  REQUIRE_FALSE(simulation.mMonitor.IsResponsive("home"));
  simulation.Run(8s);
  REQUIRE_FALSE(simulation.mMonitor.IsResponsive("home"));
  REQUIRE(simulation.mChanges.size() == 1);
  REQUIRE(simulation.mPings <= 14);
  simulation.mUnreachable.clear();
  simulation.Run(1500ms);
  REQUIRE(simulation.mMonitor.IsResponsive("home"));
}

// Guards against homes that stay avoided after a loss of all instances, while the few
// that were found again refuse statements for overload.
TEST_CASE("a home that returns within a second is found within 600 ms")
{
  MonitorSimulation simulation;
  simulation.Lose("home");
  simulation.Run(1s);
  simulation.mUnreachable.clear();
  simulation.Run(600ms);
  REQUIRE(simulation.mMonitor.IsResponsive("home"));
}

// Guards against an instance that left for good and is pinged forever, and against a home
// that stays avoided when it is listed again.
TEST_CASE("an unlisted home is not pinged, and counts as responsive when it is listed")
{
  MonitorSimulation simulation;
  simulation.Lose("home");
  simulation.mMonitor.RemoveUnlisted([](const std::string&) { return false; });
  REQUIRE(simulation.mChanges.back() == std::pair<std::string, bool>("home", true));
  simulation.Run(3s);
  REQUIRE(simulation.mPings == 0);
  REQUIRE(simulation.mMonitor.NextTimer() == TimePoint::max());
}
