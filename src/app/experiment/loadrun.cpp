#include "experiment/loadrun.h"

#include "experiment/arrivalschedule.h"
#include "experiment/callerclient.h"
#include "experiment/directclient.h"
#include "experiment/faultrunner.h"
#include "experiment/loadsession.h"
#include "experiment/registerhistory.h"
#include "experiment/workloadmix.h"
#include "observe/randomid.h"
#include "runtime/periodictask.h"

#include <fmt/core.h>

#include <cstdio>
#include <memory>
#include <thread>

namespace papayaspindle::experiment {

namespace {

constexpr std::chrono::seconds kProgressInterval{ 1 };
/** A failover at the end of the load is over by then. */
constexpr std::chrono::seconds kLogPatience{ 15 };
constexpr std::size_t kRunNameBytes = 4;

void
ReportFault(const FaultStep& aStep, const std::string& aError)
{
  std::string words;
  for (const std::string& word : aStep.mWords) {
    words += " " + word;
  }
  if (aStep.mAction == FaultAction::Report) {
    fmt::print("fault {}{}\n", aStep.mAt.count(), words);
    std::fflush(stdout);
  }
  fmt::print(stderr,
             "fault at {} ms: {}{}{}{}\n",
             aStep.mAt.count(),
             aStep.mTarget,
             words,
             aError.empty() ? "" : ": failed: ",
             aError);
}

void
PrintProgress(const Tally& aTally, TimePoint aStart)
{
  const TallyValues values = aTally.Values();
  std::uint64_t errors = 0;
  for (const auto& [kind, count] : values.mErrors) {
    errors += count;
  }
  fmt::print(
    stderr,
    "{:>4} s: reads {} (replica {}), writes {} (acknowledged {}), errors {}, violations "
    "{}\n",
    std::chrono::duration_cast<std::chrono::seconds>(Clock::now() - aStart).count(),
    values.mReads,
    values.mReplicaReads,
    values.mWrites,
    values.mAcknowledgedWrites,
    errors,
    values.mStaleReads + values.mOwnWritesMissing + values.mImpossibleReads);
}

/** Runs the sessions until the schedule is over; each session has a thread. */
void
RunSessions(const ExperimentOptions& aOptions,
            const LoadContext& aContext,
            ArrivalSchedule& aSchedule)
{
  std::vector<std::thread> threads;
  for (std::size_t number = 0; number < aOptions.mSessions; ++number) {
    threads.emplace_back([&aContext, &aSchedule, number] {
      LoadSession session(aContext, number);
      while (const auto arrival = aSchedule.Next(Clock::now())) {
        std::this_thread::sleep_until(arrival->mIntended);
        session.Serve(*arrival);
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
}

std::unique_ptr<StatementClient>
MakeClient(const ExperimentOptions& aOptions)
{
  if (aOptions.mDirect) {
    return std::make_unique<DirectClient>(aOptions.mMembers);
  }
  return std::make_unique<CallerClient>(aOptions.mEntries);
}

void
CheckLogs(const ExperimentOptions& aOptions,
          const WriteLedger& aLedger,
          ExperimentResult& aResult)
{
  const auto logs = ReadPrimaryLogs(aOptions.mMembers, kLogPatience);
  if (IsOk(logs)) {
    aResult.mWrites = aLedger.Verify(ValueOf(logs));
  } else {
    aResult.mCheckError = ErrorOf(logs).mMessage;
  }
}

} // namespace

ExperimentResult
RunLoad(const ExperimentOptions& aOptions)
{
  MixOptions mixOptions;
  mixOptions.mViewAge = aOptions.mViewAge;
  for (const auto& [group, addresses] : aOptions.mMembers) {
    mixOptions.mGroups.push_back(group);
  }
  RegisterHistory history;
  const auto mix = MakeMix(aOptions.mMix, mixOptions, history);
  const std::unique_ptr<StatementClient> client = MakeClient(aOptions);
  WriteLedger ledger;
  Tally tally;
  MetricRegistry metrics;
  ExperimentResult result;
  result.mStart = Clock::now();
  GapTracker gaps(result.mStart);
  const LoadContext context{
    *client,
    *mix,
    history,
    ledger,
    gaps,
    tally,
    metrics,
    RandomHexId(kRunNameBytes),
    aOptions.mSeed,
    aOptions.mTimeout,
    aOptions.mGiveUp,
    aOptions.mMovePercent,
    aOptions.mVisitRequests,
  };
  ArrivalSchedule schedule(
    { aOptions.mRate, aOptions.mPoisson, aOptions.mLength, aOptions.mSeed },
    result.mStart);
  {
    const FaultRunner faults(aOptions.mFaults, result.mStart, &ReportFault);
    const PeriodicTask progress(kProgressInterval,
                                [&] { PrintProgress(tally, result.mStart); });
    RunSessions(aOptions, context, schedule);
  }
  result.mTaken = Clock::now() - result.mStart;
  result.mTally = tally.Values();
  result.mGaps = gaps.Longest(result.mStart + aOptions.mLength);
  result.mMetrics = metrics.Snapshot();
  CheckLogs(aOptions, ledger, result);
  return result;
}

} // namespace papayaspindle::experiment
