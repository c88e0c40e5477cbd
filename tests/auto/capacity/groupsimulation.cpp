#include "capacity/groupsimulation.h"

#include "decision/capacity/readorder.h"
#include "proxy/proxytimes.h"

#include <algorithm>
#include <cmath>

namespace papayaspindle::test {

namespace {

using namespace std::chrono_literals;
using Seconds = std::chrono::duration<double>;

// Latency objective of a route without one of its own (Group::mShortestObjective).
constexpr Duration kObjective = 200ms;
constexpr Duration kOneWay = 500us;
constexpr Duration kFailureTime = 1ms;
// Delay of a report, with the longest latency between zones.
constexpr Duration kReportDelay = 4ms;
// Two kinds of statements with a common mean of 12.8 ms.
constexpr std::array<double, 2> kMeanMs{ 8, 20 };
constexpr double kSecondKindShare = 0.4;

} // namespace

GroupSimulation::GroupSimulation(const Pattern& aPattern,
                                 Rule aRule,
                                 std::size_t aHomes,
                                 std::uint64_t aSeed)
  : mPattern(aPattern)
  , mRule(aRule)
  , mRandom(aSeed)
  , mHomes(aHomes)
  , mServers(aPattern.mMembers.size())
{
  for (Home& home : mHomes) {
    home.mViews.resize(mServers.size());
  }
  mResult.mByMember.resize(mServers.size());
}

double
GroupSimulation::Uniform()
{
  // std::uniform_real_distribution may differ between standard libraries.
  return (static_cast<double>(mRandom() >> 11U) + 0.5) * 0x1p-53;
}

void
GroupSimulation::Schedule(TimePoint aAt, std::function<void()> aRun)
{
  mEvents.push({ aAt, mOrder++, std::move(aRun) });
}

PatternResult
GroupSimulation::Run(Duration aLength, Duration aWarmUp)
{
  mWarmUpEnd = mStart + aWarmUp;
  mEnd = mStart + aLength;
  Schedule(mNow, [this] { Arrive(); });
  for (std::size_t i = 0; mRule == Rule::Sharing && i < mHomes.size(); i++) {
    Schedule(mNow + 37ms * i, [this, i] { Report(i); });
  }
  while (!mEvents.empty()) {
    const Event event = mEvents.top();
    mEvents.pop();
    mNow = event.mAt;
    event.mRun();
  }
  mResult.mMeanMs = mSumMs / static_cast<double>(mResult.mStatements);
  return mResult;
}

void
GroupSimulation::Arrive()
{
  Statement statement{ .mArrivedAt = mNow };
  statement.mKind = Uniform() < kSecondKindShare ? 1 : 0;
  statement.mHome = mRandom() % mHomes.size();
  statement.mIsWrite = Uniform() < mPattern.mWriteShare;
  mHomes[statement.mHome].mWaiting.push_back(statement);
  Dispatch(statement.mHome);
  const double rate = mPattern.mRate(Seconds(mNow - mStart).count());
  const TimePoint next =
    mNow + std::chrono::duration_cast<Duration>(Seconds(-std::log(Uniform()) / rate));
  if (next < mEnd) {
    Schedule(next, [this] { Arrive(); });
  }
}

std::uint32_t
GroupSimulation::LimitOf(const View& aView) const
{
  return mRule == Rule::Baseline
           ? aView.mWindow.Limit()
           : std::min(aView.mWindow.Limit(), aView.mCapacity.Limit());
}

std::vector<std::size_t>
GroupSimulation::Candidates(const Home& aHome,
                            const Statement& aStatement,
                            std::size_t aAhead) const
{
  if (aStatement.mIsWrite) {
    return { 0 };
  }
  const Duration usual = aHome.mWork[aStatement.mKind].Mean();
  const std::string home = std::to_string(&aHome - mHomes.data());
  std::vector<ReadOption> options;
  for (std::size_t i = 0; i < aHome.mViews.size(); i++) {
    const View& view = aHome.mViews[i];
    const bool isPrimary = mPattern.mWriteShare > 0 && i == 0;
    const Duration fixed = isPrimary ? proxy::kPrimaryReadCost : Duration::zero();
    const Duration cost =
      view.mServiceTime * (view.mInFlight + 1) / LimitOf(view) + fixed;
    // Equal expected times give the order by cost.
    const Duration runs =
      mRule == Rule::Baseline
        ? Duration(1ms)
        : std::chrono::duration_cast<Duration>(usual * view.mCapacity.RelativeCost());
    options.push_back({ cost,
                        fixed,
                        runs,
                        view.mInFlight,
                        LimitOf(view),
                        view.mCapacity.NeedsProbe(mNow),
                        view.mSharing.LeavesReads(home, mNow) });
  }
  return OrderReadOptions(
    options, mNow - aStatement.mArrivedAt, [aAhead] { return aAhead; });
}

void
GroupSimulation::Dispatch(std::size_t aHome)
{
  Home& home = mHomes[aHome];
  std::array<std::size_t, 2> ahead{};
  for (std::size_t i = 0; i < home.mWaiting.size();) {
    const Statement statement = home.mWaiting[i];
    bool sent = false;
    for (const std::size_t member :
         Candidates(home, statement, ahead[statement.mIsWrite ? 1 : 0])) {
      if (home.mViews[member].mInFlight < LimitOf(home.mViews[member])) {
        home.mWaiting.erase(home.mWaiting.begin() + static_cast<std::ptrdiff_t>(i));
        Send(home, statement, member);
        sent = true;
        break;
      }
    }
    if (!sent) {
      ahead[statement.mIsWrite ? 1 : 0]++;
      i++;
    }
    // The first read that cannot be sent is followed only by a few others, because all
    // of them have the same candidates.
    if (ahead[0] > 8 && (ahead[1] > 8 || mPattern.mWriteShare == 0)) {
      return;
    }
  }
}

void
GroupSimulation::Send(Home& aHome, Statement aStatement, std::size_t aMember)
{
  View& view = aHome.mViews[aMember];
  SetInFlight(view, view.mInFlight + 1);
  view.mCapacity.OnStart(view.mInFlight, mNow);
  aStatement.mSentAt = mNow;
  aStatement.mMember = aMember;
  mResult.mByMember[aMember] += aStatement.mArrivedAt >= mWarmUpEnd ? 1 : 0;
  Schedule(mNow + kOneWay, [this, aStatement] { Reach(aStatement); });
}

void
GroupSimulation::Reach(const Statement& aStatement)
{
  Server& server = mServers[aStatement.mMember];
  if (server.mRunning < kSlots) {
    StartService(aStatement);
  } else {
    server.mQueue.push_back(aStatement);
  }
}

void
GroupSimulation::StartService(const Statement& aStatement)
{
  Server& server = mServers[aStatement.mMember];
  const MemberModel& model = mPattern.mMembers[aStatement.mMember];
  server.mRunning++;
  const double slowdown =
    model.mSlowdown(Seconds(mNow - mStart).count(), server.mRunning);
  // Erlang distribution of two stages: its mean is about twice its lower quartile, as
  // WorkEstimate assumes.
  const double ms = -std::log(Uniform() * Uniform()) * kMeanMs[aStatement.mKind] / 2;
  Statement statement = aStatement;
  statement.mFails = Uniform() < model.mFailureShare;
  const Duration took =
    statement.mFails
      ? kFailureTime
      : std::chrono::duration_cast<Duration>(Seconds(ms * slowdown / 1000));
  Schedule(mNow + took, [this, statement] {
    Server& at = mServers[statement.mMember];
    at.mRunning--;
    if (!at.mQueue.empty()) {
      const Statement next = at.mQueue.front();
      at.mQueue.pop_front();
      StartService(next);
    }
    Schedule(mNow + kOneWay, [this, statement] { Answer(statement); });
  });
}

void
GroupSimulation::Answer(const Statement& aStatement)
{
  Home& home = mHomes[aStatement.mHome];
  View& view = home.mViews[aStatement.mMember];
  proxy::WorkEstimate& work = home.mWork[aStatement.mKind];
  const Duration took = mNow - aStatement.mSentAt;
  view.mCapacity.OnEnd(
    { aStatement.mSentAt,
      mNow,
      work.Mean(),
      aStatement.mFails ? StatementOutcome::Failed : StatementOutcome::Succeeded,
      kSlots });
  if (!aStatement.mFails) {
    view.mServiceTime += (took - view.mServiceTime) / proxy::kServiceTimeSmoothing;
    view.mWindow.OnAnswer(work.QueueTimeOf(took), kObjective, kSlots, mNow);
    work.Add(took);
  }
  SetInFlight(view, view.mInFlight - 1);
  Count(aStatement);
  Dispatch(aStatement.mHome);
}

void
GroupSimulation::SetInFlight(View& aView, std::uint32_t aInFlight)
{
  aView.mInFlight = aInFlight;
  aView.mSharing.OnInFlight(aInFlight, mNow);
}

void
GroupSimulation::Report(std::size_t aHome)
{
  std::vector<View>& views = mHomes[aHome].mViews;
  double best = views.front().mCapacity.RelativeCost();
  for (const View& view : views) {
    best = std::min(best, view.mCapacity.RelativeCost());
  }
  for (std::size_t member = 0; member < views.size(); member++) {
    const std::optional<MemberLoadReport> report = views[member].mSharing.Update(
      { views[member].mCapacity.RelativeCost(), best, kSlots }, mNow);
    if (!report) {
      continue;
    }
    mResult.mReports++;
    for (std::size_t other = 0; other < mHomes.size(); other++) {
      if (other != aHome) {
        Schedule(mNow + kReportDelay, [this, aHome, member, other, report] {
          mHomes[other].mViews[member].mSharing.OnReport(
            std::to_string(aHome), *report, mNow);
        });
      }
    }
  }
  if (mNow < mEnd) {
    Schedule(mNow + MemberSharing::kInterval, [this, aHome] { Report(aHome); });
  }
}

void
GroupSimulation::Count(const Statement& aStatement)
{
  if (aStatement.mArrivedAt < mWarmUpEnd) {
    return;
  }
  const Duration took = mNow - aStatement.mArrivedAt;
  mResult.mStatements++;
  mResult.mLate += aStatement.mFails || took > kObjective ? 1 : 0;
  mSumMs += std::chrono::duration<double, std::milli>(took).count();
}

} // namespace papayaspindle::test
