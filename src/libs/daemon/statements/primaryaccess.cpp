#include "daemon/statements/primaryaccess.h"

#include "daemon/statements/statementsettings.h"
#include "interfaces/groups.h"
#include "observe/tracer.h"

#include <algorithm>

namespace papayaspindle {

namespace {

Duration
PollPause(const DataPath& aPath, TimePoint aUntil)
{
  return std::min<Duration>(aPath.mSettings.mViewPoll, aUntil - aPath.mHooks.mNow());
}

ReplicationTarget
TargetOf(const HomeRequest& aRequest,
         const GroupView& aView,
         const LogPosition& aAnswered)
{
  return { aRequest.mGroup, aView, aAnswered, aRequest.mDeadline };
}

} // namespace

std::optional<GroupView>
AwaitPrimary(const DataPath& aPath,
             const GroupId& aGroup,
             std::uint64_t aLeastTerm,
             TimePoint aDeadline)
{
  for (;;) {
    auto view = aPath.mGroups.View(aGroup);
    if (!view.mPrimary.IsEmpty() && view.mTerm >= aLeastTerm) {
      view.mGroup = aGroup;
      return view;
    }
    if (aPath.mHooks.mNow() >= aDeadline) {
      return std::nullopt;
    }
    aPath.mHooks.mPause(PollPause(aPath, aDeadline));
  }
}

void
AwaitLaterView(const DataPath& aPath, const GroupView& aSeen, TimePoint aUntil)
{
  while (aPath.mHooks.mNow() < aUntil) {
    const auto view = aPath.mGroups.View(aSeen.mGroup);
    const bool isLater =
      view.mTerm > aSeen.mTerm || (view.mTerm == aSeen.mTerm && aSeen.mPrimary.IsEmpty());
    if (isLater && !view.mPrimary.IsEmpty()) {
      return;
    }
    aPath.mHooks.mPause(PollPause(aPath, aUntil));
  }
}

ReplicationOutcome
AwaitAcknowledgement(const DataPath& aPath,
                     const HomeRequest& aRequest,
                     const GroupView& aView,
                     const LogPosition& aAnswered)
{
  const auto span = aPath.mTracer.Start("replication_wait", aRequest.mTraceparent);
  return aPath.mReplication.WaitUntilAcknowledged(TargetOf(aRequest, aView, aAnswered));
}

ReplicationOutcome
AwaitConfirmation(const DataPath& aPath,
                  const HomeRequest& aRequest,
                  const GroupView& aView,
                  const LogPosition& aAnswered)
{
  const auto span = aPath.mTracer.Start("replication_wait", aRequest.mTraceparent);
  return aPath.mReplication.WaitUntilConfirmed(TargetOf(aRequest, aView, aAnswered));
}

} // namespace papayaspindle
