#include "decision/configuration/commitrun.h"

#include <fmt/format.h>

#include <utility>

namespace papayaspindle {

namespace {

// At 31,000 changes a day, two commits rarely conflict. More attempts indicate a fault.
constexpr int kMaxAttempts = 50;

bool
SameExceptRevision(GroupSettings aLeft, const GroupSettings& aRight)
{
  aLeft.mRevision = aRight.mRevision;
  return aLeft == aRight;
}

} // namespace

CommitRun::CommitRun(ChangeRequest aRequest, std::uint64_t aAcceptedUnixMs)
  : mRequest(std::move(aRequest))
  , mAcceptedUnixMs(aAcceptedUnixMs)
{
}

CommitAction
CommitRun::Start()
{
  return ReadCommitRows{};
}

CommitAction
CommitRun::Fail(ErrorKind aKind, const std::string& aMessage) const
{
  CommitFinished finished;
  finished.mError = Error{ aKind, aMessage };
  return finished;
}

CommitAction
CommitRun::FailUnavailable() const
{
  if (mUnresolvedHead) {
    return Fail(ErrorKind::OutcomeUnknown,
                "the table service did not say whether the change was made; repeat the "
                "call with the same request id");
  }
  return Fail(ErrorKind::StoreUnavailable,
              "the table service does not answer; this call changed nothing, but an "
              "earlier one with the same request id may have");
}

CommitAction
CommitRun::FinishFromRequestRow(const ConfigurationChange& aFirst) const
{
  if (!SameExceptRevision(mRequest.mSettings, aFirst.mSettings)) {
    return Fail(ErrorKind::RequestIdConflict,
                fmt::format("the request id was used for another change, revision {}",
                            aFirst.mRevision));
  }
  CommitFinished finished;
  finished.mChange = aFirst;
  return finished;
}

CommitAction
CommitRun::HandleRows(const CommitRows& aRows)
{
  if (aRows.mRequestRow) {
    return FinishFromRequestRow(*aRows.mRequestRow);
  }
  if (mUnresolvedHead && *mUnresolvedHead != aRows.mHeadVersion) {
    mUnresolvedHead.reset();
  }
  if (aRows.mGroupRevision != mRequest.mExpectedRevision) {
    CommitAction failed = Fail(ErrorKind::RevisionConflict,
                               fmt::format("the group has revision {}, not {}",
                                           aRows.mGroupRevision,
                                           mRequest.mExpectedRevision));
    std::get<CommitFinished>(failed).mCurrentRevision = aRows.mGroupRevision;
    return failed;
  }
  if (++mAttempts > kMaxAttempts) {
    return FailUnavailable();
  }
  mLastTransact.mHeadVersion = aRows.mHeadVersion;
  mLastTransact.mGroupVersion = aRows.mGroupVersion;
  mLastTransact.mChange.mRevision = aRows.mHeadRevision + 1;
  mLastTransact.mChange.mRequest = mRequest.mRequest;
  mLastTransact.mChange.mSettings = mRequest.mSettings;
  mLastTransact.mChange.mSettings.mRevision = mLastTransact.mChange.mRevision;
  mLastTransact.mChange.mAcceptedUnixMs = mAcceptedUnixMs;
  return mLastTransact;
}

CommitAction
CommitRun::HandleReadFailure()
{
  if (mUnresolvedHead) {
    return ReadCommitRows{};
  }
  return FailUnavailable();
}

CommitAction
CommitRun::HandleCommitted()
{
  CommitFinished finished;
  finished.mChange = mLastTransact.mChange;
  return finished;
}

CommitAction
CommitRun::HandleConflict()
{
  return ReadCommitRows{};
}

CommitAction
CommitRun::HandleTransactFailure(bool aMayHaveRun)
{
  if (aMayHaveRun) {
    mUnresolvedHead = mLastTransact.mHeadVersion;
  }
  return HandleReadFailure();
}

CommitAction
CommitRun::HandleDeadline()
{
  return FailUnavailable();
}

} // namespace papayaspindle
