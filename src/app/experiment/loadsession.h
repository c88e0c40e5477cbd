#pragma once

#include "caller.pb.h"
#include "core/ids.h"
#include "core/logposition.h"
#include "experiment/arrivalschedule.h"
#include "experiment/workloadmix.h"

#include <chrono>
#include <cstddef>
#include <random>
#include <string>

namespace papayaspindle {
class MetricRegistry;
}

namespace papayaspindle::experiment {

class StatementClient;
class GapTracker;
class RegisterHistory;
class Tally;
class WriteLedger;

/** What all sessions of an experiment share; everything outlives them. */
struct LoadContext
{
  StatementClient& mClient;
  WorkloadMix& mMix;
  RegisterHistory& mHistory;
  WriteLedger& mLedger;
  GapTracker& mGaps;
  Tally& mTally;
  MetricRegistry& mMetrics;
  /** Prefix of request ids and keys, different in each experiment. */
  std::string mRunName;
  std::uint64_t mSeed = 0;
  std::chrono::milliseconds mTimeout{};
  /** After this long a write's outcome is left unknown. */
  std::chrono::milliseconds mGiveUp{};
  /** Requests of 100 before which the session moves to another instance. */
  std::uint64_t mMovePercent = 0;
  /** Requests after which a visitor leaves and another session begins. */
  std::uint64_t mVisitRequests = 0;
};

/** One caller at a time, with its session token. Used by one thread. */
class LoadSession
{
public:
  LoadSession(const LoadContext& aContext, std::size_t aNumber);

  /** Makes the request of one arrival, with its retries and checks. */
  void Serve(const Arrival& aArrival);

private:
  void BeginVisit();
  void Move();
  void Read(const Operation& aRead, const Arrival& aArrival);
  void Write(const Operation& aWrite, const Arrival& aArrival);
  /** What became of one write in the end. */
  struct Settled
  {
    bool mAcknowledged = false;
    bool mMayHaveRun = false;
    LogPosition mPosition;
    std::uint64_t mAffected = 0;
  };
  Settled SendUntilSettled(const v1::ExecuteRequest& aRequest, TimePoint aGiveUpAt);
  bool LookUp(const v1::ExecuteRequest& aRequest, Settled& aSettled);
  void RecordWrite(const Operation& aWrite,
                   const RequestId& aRequest,
                   const Settled& aSettled);
  v1::ExecuteRequest RequestFor(const Operation& aOperation) const;
  void RecordLatency(const Operation& aOperation, const Arrival& aArrival) const;

  LoadContext mContext;
  std::size_t mNumber;
  std::mt19937_64 mRandom;
  std::size_t mInstance = 0;
  std::uint64_t mServed = 0;
  std::string mToken;
  OwnWrites mOwn;
};

} // namespace papayaspindle::experiment
