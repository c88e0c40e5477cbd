#include "daemon/monitor/membermonitor.h"

#include "interfaces/groups.h"
#include "interfaces/homes.h"
#include "interfaces/membercontrol.h"
#include "observe/log.h"
#include "runtime/periodictask.h"
#include "runtime/workerpool.h"

#include <map>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

namespace papayaspindle {

namespace {

/** More waiting polls than this are dropped; the next tick asks for them again. */
constexpr std::size_t kMostWaiting = 10000;

using MemberKey = std::pair<GroupId, MemberId>;

struct PollState
{
  bool mInFlight = false;
  bool mSilent = false;
  /** Empty before the first poll, and after an error of data traffic. */
  std::optional<TimePoint> mBegan;
};

struct PollTask
{
  GroupId mGroup;
  MemberId mMember;
  std::string mAddress;
  bool mSilent = false;
};

} // namespace

struct MemberMonitor::Private
{
  References mReferences;
  MonitorSettings mSettings;
  NowHook mNow;
  SubmitHook mSubmit;
  std::vector<StatusListener> mStatusListeners;
  std::vector<PollFailureListener> mFailureListeners;

  std::mutex mMutex;
  std::map<MemberKey, PollState> mPolls;
  std::map<GroupId, TimePoint> mLastStatement;
  std::vector<GroupId> mHomeGroups;
  std::optional<TimePoint> mRefreshedAt;

  std::unique_ptr<WorkerPool> mPool;
  std::unique_ptr<WorkerPool> mSilentPool;
  std::unique_ptr<PeriodicTask> mTimer;

  std::vector<GroupId> HomeGroups();
  Duration IntervalOf(const GroupId& aGroup, bool aUrgent, TimePoint aNow);
  bool Begin(PollTask& aTask, Duration aInterval, TimePoint aNow);
  void PollGroup(const GroupId& aGroup);
  void Submit(const PollTask& aTask);
  void Run(const PollTask& aTask);
  void End(const PollTask& aTask, bool aSilent);
};

std::vector<GroupId>
MemberMonitor::Private::HomeGroups()
{
  const TimePoint now = mNow();
  {
    const std::lock_guard lock(mMutex);
    if (mRefreshedAt && now - *mRefreshedAt < mSettings.mRefresh) {
      return mHomeGroups;
    }
    mRefreshedAt = now;
  }
  std::vector<GroupId> groups;
  for (const GroupId& group : mReferences.mGroups.Names()) {
    if (mReferences.mHomes.OwnRank(group) >= 0) {
      groups.push_back(group);
    }
  }
  const std::lock_guard lock(mMutex);
  mHomeGroups = groups;
  return groups;
}

Duration
MemberMonitor::Private::IntervalOf(const GroupId& aGroup, bool aUrgent, TimePoint aNow)
{
  // The first two homes detect and confirm; the others would only add polls.
  if (aUrgent && mReferences.mHomes.OwnRank(aGroup) <= 1) {
    return mSettings.mPrimaryInterval;
  }
  const std::lock_guard lock(mMutex);
  const auto found = mLastStatement.find(aGroup);
  const bool busy =
    found != mLastStatement.end() && aNow - found->second < mSettings.mIdleAfter;
  const Duration interval =
    aUrgent ? mSettings.mPrimaryInterval : mSettings.mBusyInterval;
  return busy ? interval : mSettings.mIdleInterval;
}

/** Takes the member's turn when it is due and none of its polls is in flight. */
bool
MemberMonitor::Private::Begin(PollTask& aTask, Duration aInterval, TimePoint aNow)
{
  const std::lock_guard lock(mMutex);
  PollState& state = mPolls[{ aTask.mGroup, aTask.mMember }];
  const bool isDue = !state.mBegan || aNow - *state.mBegan >= aInterval;
  if (state.mInFlight || !isDue) {
    return false;
  }
  state.mInFlight = true;
  state.mBegan = aNow;
  aTask.mSilent = state.mSilent;
  return true;
}

void
MemberMonitor::Private::PollGroup(const GroupId& aGroup)
{
  const std::optional<GroupSettings> settings = mReferences.mGroups.Settings(aGroup);
  if (!settings) {
    return;
  }
  const MemberId primary = mReferences.mGroups.View(aGroup).mPrimary;
  const TimePoint now = mNow();
  for (const MemberSettings& member : settings->mMembers) {
    PollTask task{ aGroup, member.mMember, member.mAddress };
    // Without a known primary, every member may be the one to learn it from.
    const bool urgent = primary.IsEmpty() || member.mMember == primary;
    if (Begin(task, IntervalOf(aGroup, urgent, now), now)) {
      Submit(task);
    }
  }
}

void
MemberMonitor::Private::Submit(const PollTask& aTask)
{
  const auto run = [this, aTask] { Run(aTask); };
  const auto& pool = aTask.mSilent ? mSilentPool : mPool;
  const bool accepted = mSubmit ? mSubmit(run) : pool && pool->Submit(run);
  if (!accepted) {
    End(aTask, aTask.mSilent);
  }
}

void
MemberMonitor::Private::Run(const PollTask& aTask)
{
  const TimePoint askedAt = mNow();
  const Result<v1::StatusReply> result =
    mReferences.mMembers.Status(aTask.mAddress, mSettings.mTimeout);
  const bool answered = IsOk(result) && ValueOf(result).member() == aTask.mMember.Text();
  if (IsOk(result) && !answered) {
    Log(LogLevel::Warning,
        "monitor",
        "member_has_another_name",
        { { "group", aTask.mGroup.Text() },
          { "member", aTask.mMember.Text() },
          { "answered_as", ValueOf(result).member() } });
  }
  const bool refused = !IsOk(result) && ErrorOf(result).mMessage.starts_with("refused");
  End(aTask, !answered && !refused);
  if (answered) {
    for (const StatusListener& listener : mStatusListeners) {
      listener(aTask.mGroup, aTask.mMember, ValueOf(result), askedAt);
    }
    return;
  }
  for (const PollFailureListener& listener : mFailureListeners) {
    listener(aTask.mGroup,
             aTask.mMember,
             refused ? PollFailure::Refused : PollFailure::Unresponsive);
  }
}

void
MemberMonitor::Private::End(const PollTask& aTask, bool aSilent)
{
  const std::lock_guard lock(mMutex);
  PollState& state = mPolls[{ aTask.mGroup, aTask.mMember }];
  state.mInFlight = false;
  state.mSilent = aSilent;
}

MemberMonitor::MemberMonitor(const References& aReferences,
                             const MonitorSettings& aSettings,
                             NowHook aNow,
                             SubmitHook aSubmit)
  : mPrivate(new Private{ aReferences, aSettings, std::move(aNow), std::move(aSubmit) })
{
  if (!mPrivate->mSubmit) {
    mPrivate->mPool =
      std::make_unique<WorkerPool>("monitor", aSettings.mThreads, kMostWaiting);
    mPrivate->mSilentPool = std::make_unique<WorkerPool>(
      "monitor-silent", aSettings.mSilentThreads, kMostWaiting);
  }
}

MemberMonitor::~MemberMonitor()
{
  Stop();
}

void
MemberMonitor::AddStatusListener(StatusListener aListener)
{
  mPrivate->mStatusListeners.push_back(std::move(aListener));
}

void
MemberMonitor::AddFailureListener(PollFailureListener aListener)
{
  mPrivate->mFailureListeners.push_back(std::move(aListener));
}

void
MemberMonitor::Start()
{
  mPrivate->mTimer =
    std::make_unique<PeriodicTask>(mPrivate->mSettings.mTick, [this] { Tick(); });
}

void
MemberMonitor::Stop()
{
  mPrivate->mTimer.reset();
  mPrivate->mPool.reset();
  mPrivate->mSilentPool.reset();
}

void
MemberMonitor::ReportTrafficError(const GroupId& aGroup, const MemberId& aMember)
{
  {
    const std::lock_guard lock(mPrivate->mMutex);
    const auto found = mPrivate->mPolls.find({ aGroup, aMember });
    if (found == mPrivate->mPolls.end()) {
      return;
    }
    found->second.mBegan.reset();
  }
  mPrivate->PollGroup(aGroup);
}

void
MemberMonitor::NoteStatement(const GroupId& aGroup)
{
  const TimePoint now = mPrivate->mNow();
  const std::lock_guard lock(mPrivate->mMutex);
  mPrivate->mLastStatement[aGroup] = now;
}

std::vector<GroupId>
MemberMonitor::HomeGroups()
{
  return mPrivate->HomeGroups();
}

void
MemberMonitor::Tick()
{
  for (const GroupId& group : HomeGroups()) {
    mPrivate->PollGroup(group);
  }
}

} // namespace papayaspindle
