#include "daemon/statements/primaryaccess.h"

#include "daemon/statements/freshnessboard.h"
#include "daemon/statements/membersession.h"
#include "daemon/statements/statementsettings.h"
#include "interfaces/groups.h"
#include "observe/tracer.h"

#include <fmt/format.h>

#include <algorithm>

namespace papayaspindle {

namespace {

constexpr std::string_view kReservedPrefix = "papayaspindle-";

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

bool
IsReservedRequestId(std::string_view aRequestId)
{
  return aRequestId.starts_with(kReservedPrefix);
}

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

void
EnsureTermEntry(const DataPath& aPath,
                const HomeRequest& aRequest,
                MemberSession& aSession,
                const GroupView& aView,
                const LogPosition& aAnswered)
{
  if (aAnswered.mTerm >= aView.mTerm) {
    return;
  }
  const auto progress = aPath.mFreshness.ProgressOf(aView.mGroup, aView.mPrimary);
  const bool hasEntry =
    progress && progress->mTerm == aView.mTerm && progress->mLast.mTerm == aView.mTerm;
  if (hasEntry) {
    return;
  }
  v1::SessionRequest marker;
  marker.set_kind(v1::STATEMENT_KIND_EXECUTE);
  marker.set_write(true);
  marker.set_statement(aPath.mSettings.mMarkerStatement);
  marker.set_request_id(fmt::format("{}marker-{}", kReservedPrefix, aView.mTerm));
  const auto limit = aPath.mHooks.mNow() + aPath.mSettings.mFirstAttempt;
  // A failure needs no handling: the wait that follows does not find the entry.
  static_cast<void>(
    aSession.Run(std::move(marker), std::min<TimePoint>(limit, aRequest.mDeadline)));
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
