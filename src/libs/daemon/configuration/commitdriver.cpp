#include "daemon/configuration/commitdriver.h"

#include "daemon/configuration/configurationstore.h"

#include <algorithm>
#include <utility>

namespace papayaspindle {

namespace {

// Head, group and request rows; their reads share the time that is left.
constexpr int kReadsOfARun = 3;

} // namespace

CommitDriver::CommitDriver(ConfigurationStore& aStore,
                           CommitTimes aTimes,
                           NowHook aNow,
                           UnixMsHook aUnixMs,
                           PauseHook aPause)
  : mStore(aStore)
  , mTimes(aTimes)
  , mNow(std::move(aNow))
  , mUnixMs(std::move(aUnixMs))
  , mPause(std::move(aPause))
{
}

std::chrono::milliseconds
CommitDriver::Remaining(TimePoint aDeadline) const
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDeadline - mNow());
}

CommitAction
CommitDriver::Read(const ChangeRequest& aRequest, CommitRun& aRun, TimePoint aDeadline)
{
  const auto timeout = std::min(mTimes.mCall, Remaining(aDeadline) / kReadsOfARun);
  const Result<CommitRows> rows = mStore.ReadRows(aRequest, timeout);
  if (IsOk(rows)) {
    return aRun.HandleRows(ValueOf(rows));
  }
  CommitAction next = aRun.HandleReadFailure();
  if (std::holds_alternative<ReadCommitRows>(next)) {
    mPause(mTimes.mRetryPause);
  }
  return next;
}

CommitAction
CommitDriver::Transact(const TransactChange& aTransact,
                       CommitRun& aRun,
                       TimePoint aDeadline)
{
  switch (mStore.Transact(aTransact, std::min(mTimes.mCall, Remaining(aDeadline)))) {
    case TransactOutcome::Committed:
      return aRun.HandleCommitted();
    case TransactOutcome::Conflict:
      return aRun.HandleConflict();
    case TransactOutcome::NotRun:
      return aRun.HandleTransactFailure(false);
    case TransactOutcome::Unknown:
      break;
  }
  return aRun.HandleTransactFailure(true);
}

CommitFinished
CommitDriver::Commit(const ChangeRequest& aRequest)
{
  const TimePoint deadline = mNow() + mTimes.mTotal;
  CommitRun run(aRequest, mUnixMs());
  CommitAction action = run.Start();
  while (!std::holds_alternative<CommitFinished>(action)) {
    if (Remaining(deadline) < std::chrono::milliseconds(kReadsOfARun)) {
      action = run.HandleDeadline();
      continue;
    }
    if (const auto* transact = std::get_if<TransactChange>(&action)) {
      const TransactChange change = *transact;
      action = Transact(change, run, deadline);
      continue;
    }
    action = Read(aRequest, run, deadline);
  }
  return std::get<CommitFinished>(action);
}

} // namespace papayaspindle
