#pragma once

#include "decision/capacity/membercapacity.h"
#include "decision/capacity/membersharing.h"
#include "proxy/admission/concurrencywindow.h"
#include "proxy/admission/workestimate.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <vector>

namespace papayaspindle::test {

enum class Rule : std::uint8_t
{
  /** Order by smoothed service time and load; limit by ConcurrencyWindow alone. */
  Baseline,
  /** The same with MemberCapacity and OrderReadOptions. */
  Capacity,
  /** The same with MemberSharing. */
  Sharing,
};

/** Behaviour of a simulated member. Times are seconds since the start. */
struct MemberModel
{
  /** Factor of service times at a time and number of running statements. */
  std::function<double(double, std::uint32_t)> mSlowdown = [](double, std::uint32_t) {
    return 1.0;
  };
  /** Share of statements that fail within a millisecond. */
  double mFailureShare = 0;
};

/** A load pattern. */
struct Pattern
{
  std::string mName;
  std::vector<MemberModel> mMembers;
  /** Statements per second at a time since the start. */
  std::function<double(double)> mRate;
  /** Share of statements that only the first member can run; it is the primary. */
  double mWriteShare = 0;
};

/** Counts of statements after the warm-up. */
struct PatternResult
{
  std::uint64_t mStatements = 0;
  /** Statements that failed or were not answered within the objective. */
  std::uint64_t mLate = 0;
  double mMeanMs = 0;
  /** Number of reports that homes sent about members. */
  std::uint64_t mReports = 0;
  /** Number of statements that each member was sent. */
  std::vector<std::uint64_t> mByMember;

  [[nodiscard]] double LateShare() const
  {
    return static_cast<double>(mLate) / static_cast<double>(mStatements);
  }
};

/** Simulates a group of members with slots and queues that several homes send to. */
class GroupSimulation
{
public:
  static constexpr std::uint32_t kSlots = 4;

  GroupSimulation(const Pattern& aPattern,
                  Rule aRule,
                  std::size_t aHomes,
                  std::uint64_t aSeed);

  /** Runs the pattern; statements that arrive before aWarmUp are not counted. */
  PatternResult Run(Duration aLength, Duration aWarmUp);

private:
  struct Statement
  {
    TimePoint mArrivedAt;
    TimePoint mSentAt;
    std::size_t mKind = 0;
    std::size_t mHome = 0;
    std::size_t mMember = 0;
    bool mIsWrite = false;
    bool mFails = false;
  };
  /** State of a member as one home sees it. */
  struct View
  {
    std::uint32_t mInFlight = 0;
    proxy::ConcurrencyWindow mWindow;
    MemberCapacity mCapacity;
    MemberSharing mSharing;
    Duration mServiceTime = std::chrono::milliseconds(15);
  };
  struct Home
  {
    std::vector<View> mViews;
    std::array<proxy::WorkEstimate, 2> mWork;
    std::deque<Statement> mWaiting;
  };
  struct Server
  {
    std::uint32_t mRunning = 0;
    std::deque<Statement> mQueue;
  };
  struct Event
  {
    TimePoint mAt;
    std::uint64_t mOrder = 0;
    std::function<void()> mRun;

    bool operator<(const Event& aOther) const
    {
      return std::tie(aOther.mAt, aOther.mOrder) < std::tie(mAt, mOrder);
    }
  };

  void Schedule(TimePoint aAt, std::function<void()> aRun);
  void Arrive();
  void Dispatch(std::size_t aHome);
  std::vector<std::size_t> Candidates(const Home& aHome,
                                      const Statement& aStatement,
                                      std::size_t aAhead) const;
  [[nodiscard]] std::uint32_t LimitOf(const View& aView) const;
  void Send(Home& aHome, Statement aStatement, std::size_t aMember);
  void Reach(const Statement& aStatement);
  void StartService(const Statement& aStatement);
  void Answer(const Statement& aStatement);
  void SetInFlight(View& aView, std::uint32_t aInFlight);
  /** Exchanges the reports of one home, and schedules the next time. */
  void Report(std::size_t aHome);
  void Count(const Statement& aStatement);
  double Uniform();

  const Pattern& mPattern;
  Rule mRule;
  std::mt19937_64 mRandom;
  std::vector<Home> mHomes;
  std::vector<Server> mServers;
  std::priority_queue<Event> mEvents;
  std::uint64_t mOrder = 0;
  TimePoint mNow{ std::chrono::hours(1) };
  TimePoint mStart = mNow;
  TimePoint mWarmUpEnd;
  TimePoint mEnd;
  double mSumMs = 0;
  PatternResult mResult;
};

} // namespace papayaspindle::test
