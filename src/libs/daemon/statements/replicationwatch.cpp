#include "daemon/statements/replicationwatch.h"

#include "convert/convert.h"
#include "daemon/statements/freshnessboard.h"
#include "decision/write/acktracker.h"
#include "interfaces/groups.h"
#include "interfaces/membercontrol.h"
#include "runtime/workerpool.h"

#include <algorithm>
#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <utility>

namespace papayaspindle {

namespace {

using WaitId = std::uint64_t;

// How often a wait looks for a later term and for calls that the pool refused.
constexpr auto kLookInterval = std::chrono::milliseconds(20);
constexpr std::size_t kMaxQueuedCalls = 10'000;

/** One thread that waits. */
struct Wait
{
  ReplicationTarget mTarget;
  AckTracker mTracker;
  /** Set for a read: only recent reports count. */
  bool mNeedsRecent = false;
  TimePoint mStartedAt;
};

struct MemberKey
{
  GroupId mGroup;
  MemberId mMember;

  auto operator<=>(const MemberKey&) const = default;
};

/** The calls to one member. */
struct MemberCalls
{
  /** Positions of the calls in flight. */
  std::multiset<LogPosition> mPositions;
  /** Set while its last call did not help: it gets one call at a time, because a frozen
   * member would hold a thread for each. */
  bool mIsSlow = false;
};

/** One call to a member. */
struct MemberCall
{
  MemberKey mKey;
  std::string mAddress;
  LogPosition mPosition;
};

} // namespace

struct ReplicationWatch::Private
{
  Private(const References& aReferences,
          const ReplicationSettings& aSettings,
          StatementHooks aHooks)
    : mReferences(aReferences)
    , mSettings(aSettings)
    , mHooks(std::move(aHooks))
    , mPool("replication", aSettings.mThreads, kMaxQueuedCalls)
  {
  }

  ReplicationOutcome Run(const ReplicationTarget& aTarget, bool aNeedsRecent);
  std::optional<ReplicationOutcome> OutcomeOf(const Wait& aWait) const;
  bool IsSatisfied(const Wait& aWait) const;
  bool HasCalls(const Wait& aWait) const;
  void StartCalls(const Wait& aWait, std::size_t aMaxInFlight);
  void StartCall(MemberCall aCall);
  void Call(MemberCall aCall);
  bool ChooseNext(MemberCall& aCall, const LogPosition& aHeld);
  void EndCall(const MemberCall& aCall);
  void Deliver(const MemberCall& aCall,
               const v1::StatusReply& aReply,
               TimePoint aAskedAt);
  std::optional<LogPosition> NextPosition(const MemberKey& aKey,
                                          const LogPosition& aHeld) const;

  References mReferences;
  ReplicationSettings mSettings;
  StatementHooks mHooks;
  std::mutex mMutex;
  std::condition_variable mChanged;
  WaitId mNextWait = 0;
  std::map<WaitId, Wait> mWaits;
  std::map<MemberKey, MemberCalls> mCalls;
  /** Declared last: its destructor ends the calls, which use the members above. */
  WorkerPool mPool;
};

ReplicationOutcome
ReplicationWatch::Private::Run(const ReplicationTarget& aTarget, bool aNeedsRecent)
{
  const auto reports = mReferences.mFreshness.Reports(aTarget.mGroup.mGroup);
  const auto position = AckTracker::Target(aTarget.mAnswered, aTarget.mView.mTerm);
  const AckTracker tracker(
    aTarget.mView.mPrimary, position, aTarget.mGroup.mMembers.size());
  std::unique_lock lock(mMutex);
  const auto id = ++mNextWait;
  auto& wait = mWaits.emplace(id, Wait{ aTarget, tracker, aNeedsRecent, mHooks.mNow() })
                 .first->second;
  for (const auto& report : reports) {
    wait.mTracker.OnReport(report);
  }
  auto outcome = OutcomeOf(wait);
  for (auto maxInFlight = mSettings.mCallsPerMember; !outcome; maxInFlight = 1) {
    StartCalls(wait, maxInFlight);
    mChanged.wait_for(lock, kLookInterval, [&] {
      outcome = OutcomeOf(wait);
      return outcome.has_value() || !HasCalls(wait);
    });
    if (!outcome && !HasCalls(wait)) {
      lock.unlock();
      mHooks.mPause(mSettings.mRepeatPause);
      lock.lock();
    }
    outcome = OutcomeOf(wait);
  }
  mWaits.erase(id);
  return *outcome;
}

std::optional<ReplicationOutcome>
ReplicationWatch::Private::OutcomeOf(const Wait& aWait) const
{
  if (IsSatisfied(aWait)) {
    return ReplicationOutcome::Acknowledged;
  }
  const auto& view = aWait.mTarget.mView;
  if (mReferences.mGroups.View(view.mGroup).mTerm > view.mTerm) {
    return ReplicationOutcome::Superseded;
  }
  if (mHooks.mNow() >= aWait.mTarget.mDeadline) {
    return ReplicationOutcome::DeadlinePassed;
  }
  return std::nullopt;
}

bool
ReplicationWatch::Private::IsSatisfied(const Wait& aWait) const
{
  return aWait.mNeedsRecent ? aWait.mTracker.IsConfirmedSince(
                                mHooks.mNow() - mSettings.mConfirmationWindow)
                            : aWait.mTracker.IsAcknowledged();
}

/** @return whether a call to a member of the wait's group is in flight */
bool
ReplicationWatch::Private::HasCalls(const Wait& aWait) const
{
  const auto& members = aWait.mTarget.mGroup.mMembers;
  return std::any_of(members.begin(), members.end(), [&](const auto& aMember) {
    const auto calls = mCalls.find({ aWait.mTarget.mGroup.mGroup, aMember.mMember });
    return calls != mCalls.end() && !calls->second.mPositions.empty();
  });
}

void
ReplicationWatch::Private::StartCalls(const Wait& aWait, std::size_t aMaxInFlight)
{
  for (const auto& member : aWait.mTarget.mGroup.mMembers) {
    if (member.mMember == aWait.mTarget.mView.mPrimary) {
      continue;
    }
    const MemberKey key{ aWait.mTarget.mGroup.mGroup, member.mMember };
    const auto& calls = mCalls[key];
    const std::size_t maxInFlight = calls.mIsSlow ? 1 : aMaxInFlight;
    if (calls.mPositions.size() < maxInFlight) {
      StartCall({ key, member.mAddress, aWait.mTracker.Position() });
    }
  }
}

void
ReplicationWatch::Private::StartCall(MemberCall aCall)
{
  mCalls[aCall.mKey].mPositions.insert(aCall.mPosition);
  // A refused call is tried again at the wait's next look.
  if (!mPool.Submit([this, aCall] { Call(aCall); })) {
    EndCall(aCall);
  }
}

void
ReplicationWatch::Private::Call(MemberCall aCall)
{
  for (bool isNeeded = true; isNeeded;) {
    const auto askedAt = mHooks.mNow();
    const auto reply = mReferences.mMembers.WaitForPosition(
      aCall.mAddress, aCall.mPosition, PositionReached::Received, mSettings.mCallTimeout);
    LogPosition held;
    if (IsOk(reply)) {
      Deliver(aCall, ValueOf(reply), askedAt);
      // What a member of another term holds does not count.
      const bool counts = ValueOf(reply).term() == aCall.mPosition.mTerm;
      held = counts ? FromMessage(ValueOf(reply).last()) : LogPosition{};
    }
    const std::lock_guard lock(mMutex);
    isNeeded = ChooseNext(aCall, held);
  }
  mChanged.notify_all();
}

/** @return whether to call again, for the position that is then in aCall */
bool
ReplicationWatch::Private::ChooseNext(MemberCall& aCall, const LogPosition& aHeld)
{
  EndCall(aCall);
  auto& calls = mCalls[aCall.mKey];
  calls.mIsSlow = aHeld < aCall.mPosition;
  if (calls.mIsSlow) {
    // The waits ask again at their next look.
    return false;
  }
  const auto next = NextPosition(aCall.mKey, aHeld);
  const bool isCovered =
    next && !calls.mPositions.empty() && *calls.mPositions.begin() <= *next;
  if (!next || isCovered) {
    return false;
  }
  aCall.mPosition = *next;
  calls.mPositions.insert(*next);
  return true;
}

void
ReplicationWatch::Private::EndCall(const MemberCall& aCall)
{
  auto& positions = mCalls[aCall.mKey].mPositions;
  positions.erase(positions.find(aCall.mPosition));
}

void
ReplicationWatch::Private::Deliver(const MemberCall& aCall,
                                   const v1::StatusReply& aReply,
                                   TimePoint aAskedAt)
{
  const auto& [group, member] = aCall.mKey;
  if (!aReply.member().empty() && aReply.member() != member.Text()) {
    return;
  }
  mReferences.mFreshness.OnStatus(group, member, aReply, aAskedAt);
  const MemberReport report{
    member, aReply.term(), FromMessage(aReply.last()), aAskedAt
  };
  const auto applied = FromMessage(aReply.applied());
  std::optional<Duration> catchUp;
  {
    const std::lock_guard lock(mMutex);
    for (auto& [id, wait] : mWaits) {
      if (wait.mTarget.mGroup.mGroup != group) {
        continue;
      }
      wait.mTracker.OnReport(report);
      const auto& position = wait.mTracker.Position();
      if (applied >= position && position == aCall.mPosition) {
        catchUp = mHooks.mNow() - wait.mStartedAt;
      }
    }
  }
  mChanged.notify_all();
  if (catchUp) {
    mReferences.mFreshness.OnCatchUp(group, member, *catchUp, mHooks.mNow());
  }
}

/** @return the lowest position past aHeld that a wait needs of the member */
std::optional<LogPosition>
ReplicationWatch::Private::NextPosition(const MemberKey& aKey,
                                        const LogPosition& aHeld) const
{
  std::optional<LogPosition> next;
  for (const auto& [id, wait] : mWaits) {
    const auto& position = wait.mTracker.Position();
    const bool isOpen = wait.mTarget.mGroup.mGroup == aKey.mGroup &&
                        wait.mTarget.mView.mPrimary != aKey.mMember && position > aHeld &&
                        !OutcomeOf(wait);
    if (isOpen && (!next || position < *next)) {
      next = position;
    }
  }
  return next;
}

ReplicationWatch::ReplicationWatch(const References& aReferences,
                                   const ReplicationSettings& aSettings,
                                   StatementHooks aHooks)
  : mPrivate(std::make_unique<Private>(aReferences, aSettings, std::move(aHooks)))
{
}

ReplicationWatch::~ReplicationWatch() = default;

ReplicationOutcome
ReplicationWatch::WaitUntilAcknowledged(const ReplicationTarget& aTarget)
{
  return mPrivate->Run(aTarget, false);
}

ReplicationOutcome
ReplicationWatch::WaitUntilConfirmed(const ReplicationTarget& aTarget)
{
  return mPrivate->Run(aTarget, true);
}

} // namespace papayaspindle
