#include "daemon/failover/failovermanager.h"

#include "convert/convert.h"
#include "daemon/failover/actionrunner.h"
#include "daemon/failover/groupstate.h"
#include "daemon/failover/statusmessage.h"
#include "daemon/monitor/membermonitor.h"
#include "interfaces/groups.h"
#include "interfaces/homes.h"
#include "interfaces/instances.h"
#include "interfaces/peerhandlers.h"
#include "peer.pb.h"
#include "runtime/periodictask.h"

#include <map>
#include <mutex>
#include <utility>
#include <vector>

namespace papayaspindle {

struct FailoverManager::Private
{
  using State = ActionRunner::State;

  References mReferences;
  FailoverManagerSettings mSettings;
  FailoverHooks mHooks;
  mutable std::mutex mMutex;
  std::map<GroupId, State> mStates;
  ActionRunner mRunner;
  std::unique_ptr<PeriodicTask> mTimer;

  Private(const References& aReferences,
          const FailoverManagerSettings& aSettings,
          const FailoverHooks& aHooks);

  State Find(const GroupId& aGroup) const;
  void Refresh();
  std::vector<State> States() const;
  KeeperInput InputOf(const GroupId& aGroup) const;
  void OnStatus(const GroupId& aGroup, const MemberStatus& aStatus);
  void OnFailure(const GroupId& aGroup, const MemberId& aMember, PollFailure aFailure);
  Result<std::string> ConfirmSuspicion(const PeerRequest& aRequest);
  Result<std::string> UpdateViews(const PeerRequest& aRequest);
};

FailoverManager::Private::Private(const References& aReferences,
                                  const FailoverManagerSettings& aSettings,
                                  const FailoverHooks& aHooks)
  : mReferences(aReferences)
  , mSettings(aSettings)
  , mHooks(aHooks)
  , mRunner(aReferences, aSettings, aHooks)
{
}

FailoverManager::Private::State
FailoverManager::Private::Find(const GroupId& aGroup) const
{
  const std::lock_guard lock(mMutex);
  const auto found = mStates.find(aGroup);
  return found == mStates.end() ? nullptr : found->second;
}

/** Adds the groups that this instance became a home of, and drops the others. */
void
FailoverManager::Private::Refresh()
{
  const InstanceId self = mReferences.mInstances.Self().mInstance;
  std::map<GroupId, State> states;
  for (const GroupId& group : mReferences.mMonitor.HomeGroups()) {
    State state = Find(group);
    if (!state) {
      state = std::make_shared<GroupState>(
        group, GroupKeeper(group, self, mSettings.mKeeper, mHooks.mRandom));
    }
    states.emplace(group, std::move(state));
  }
  const std::lock_guard lock(mMutex);
  mStates = std::move(states);
}

std::vector<FailoverManager::Private::State>
FailoverManager::Private::States() const
{
  const std::lock_guard lock(mMutex);
  std::vector<State> states;
  for (const auto& [group, state] : mStates) {
    states.push_back(state);
  }
  return states;
}

KeeperInput
FailoverManager::Private::InputOf(const GroupId& aGroup) const
{
  KeeperInput input;
  input.mView = mReferences.mGroups.View(aGroup);
  input.mRank = mReferences.mHomes.OwnRank(aGroup);
  input.mMayAct = mReferences.mInstances.MayActAsKeeper();
  if (const auto settings = mReferences.mGroups.Settings(aGroup)) {
    for (const MemberSettings& member : settings->mMembers) {
      input.mMembers.push_back({ member.mMember, member.mLeaving });
    }
  }
  const InstanceInfo self = mReferences.mInstances.Self();
  for (const InstanceId& home : mReferences.mHomes.HomesOf(aGroup)) {
    const auto info = mReferences.mInstances.Find(home);
    if (home != self.mInstance && info) {
      input.mOtherHomes.push_back(
        { home, info->mAvailabilityZone == self.mAvailabilityZone });
    }
  }
  return input;
}

void
FailoverManager::Private::OnStatus(const GroupId& aGroup, const MemberStatus& aStatus)
{
  if (const State state = Find(aGroup)) {
    mRunner.Feed(state, [&](GroupKeeper& aKeeper, TimePoint aNow) {
      return aKeeper.OnStatus(aStatus, aNow);
    });
  }
}

void
FailoverManager::Private::OnFailure(const GroupId& aGroup,
                                    const MemberId& aMember,
                                    PollFailure aFailure)
{
  if (const State state = Find(aGroup)) {
    mRunner.Feed(state, [&](GroupKeeper& aKeeper, TimePoint aNow) {
      return aKeeper.OnNoAnswer(aMember, aFailure, aNow);
    });
  }
}

Result<std::string>
FailoverManager::Private::ConfirmSuspicion(const PeerRequest& aRequest)
{
  v1::ConfirmSuspicionRequest request;
  if (!request.ParseFromString(aRequest.mBody)) {
    return Error{ ErrorKind::MalformedRequest, "not a ConfirmSuspicionRequest" };
  }
  const State state = Find(GroupId(request.group()));
  if (!state) {
    return Error{ ErrorKind::UnknownGroup, "not a home of the group" };
  }
  // After a pause, this instance's own view of the member proves nothing.
  if (!mReferences.mInstances.MayActAsKeeper()) {
    return Error{ ErrorKind::PeerUnreachable, "paused until a peer answers" };
  }
  // The question may be asked again, by then with the answer to this poll.
  mReferences.mMonitor.ReportTrafficError(state->mGroup, MemberId(request.member()));
  const std::lock_guard lock(state->mMutex);
  const ConfirmationReply known =
    state->mKeeper.AnswerConfirmation(MemberId(request.member()), mHooks.mNow());
  v1::ConfirmSuspicionReply reply;
  reply.set_reachable(known.mReachable);
  reply.set_silence_ms(static_cast<std::uint64_t>(known.mSilence.count()));
  reply.set_term(known.mTerm);
  return reply.SerializeAsString();
}

Result<std::string>
FailoverManager::Private::UpdateViews(const PeerRequest& aRequest)
{
  v1::GroupViewUpdate update;
  if (!update.ParseFromString(aRequest.mBody)) {
    return Error{ ErrorKind::MalformedRequest, "not a GroupViewUpdate" };
  }
  v1::GroupViewUpdateReply reply;
  for (const v1::GroupView& message : update.views()) {
    const GroupView view = FromMessage(message);
    if (!mReferences.mGroups.Settings(view.mGroup)) {
      continue;
    }
    mReferences.mGroups.OfferView(view);
    const GroupView known = mReferences.mGroups.View(view.mGroup);
    if (known.mTerm > view.mTerm) {
      *reply.add_newer() = ToMessage(known);
    }
  }
  return reply.SerializeAsString();
}

FailoverManager::FailoverManager(const References& aReferences,
                                 const FailoverManagerSettings& aSettings,
                                 FailoverHooks aHooks)
  : mPrivate(std::make_unique<Private>(aReferences, aSettings, aHooks))
{
  Private& self = *mPrivate;
  aReferences.mMonitor.AddStatusListener([&self](const GroupId& aGroup,
                                                 const MemberId& aMember,
                                                 const v1::StatusReply& aReply,
                                                 TimePoint aAskedAt) {
    self.OnStatus(aGroup, StatusFromMessage(aMember, aReply, aAskedAt));
  });
  aReferences.mMonitor.AddFailureListener(
    [&self](const GroupId& aGroup, const MemberId& aMember, PollFailure aFailure) {
      self.OnFailure(aGroup, aMember, aFailure);
    });
  aReferences.mHandlers.Register(
    "ConfirmSuspicion",
    [&self](const PeerRequest& aRequest) { return self.ConfirmSuspicion(aRequest); });
  aReferences.mHandlers.Register("GroupViewUpdate", [&self](const PeerRequest& aRequest) {
    return self.UpdateViews(aRequest);
  });
}

FailoverManager::~FailoverManager()
{
  Stop();
}

void
FailoverManager::Start()
{
  mPrivate->mTimer =
    std::make_unique<PeriodicTask>(mPrivate->mSettings.mTick, [this] { Tick(); });
}

void
FailoverManager::Stop()
{
  mPrivate->mTimer.reset();
  mPrivate->mRunner.Stop();
}

void
FailoverManager::Tick()
{
  mPrivate->Refresh();
  for (const Private::State& state : mPrivate->States()) {
    const KeeperInput input = mPrivate->InputOf(state->mGroup);
    mPrivate->mRunner.Feed(state, [&](GroupKeeper& aKeeper, TimePoint aNow) {
      return aKeeper.OnTick(input, aNow);
    });
  }
}

std::optional<v1::FailoverReport>
FailoverManager::LastFailover(const GroupId& aGroup) const
{
  const Private::State state = mPrivate->Find(aGroup);
  if (!state) {
    return std::nullopt;
  }
  const std::lock_guard lock(state->mMutex);
  const FailoverSummary summary = state->mKeeper.Summary();
  if (summary.mTerm == 0) {
    return std::nullopt;
  }
  v1::FailoverReport report;
  report.set_term(summary.mTerm);
  report.set_old_primary(summary.mOldPrimary.Text());
  report.set_new_primary(summary.mNewPrimary.Text());
  for (const FailoverStep& step : summary.mSteps) {
    v1::FailoverStep& added = *report.add_steps();
    added.set_at_ms(static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(step.mAt).count()));
    added.set_event(step.mEvent);
  }
  return report;
}

Duration
FailoverManager::Silence(const GroupId& aGroup, const MemberId& aMember) const
{
  const Private::State state = mPrivate->Find(aGroup);
  if (!state) {
    return Duration::zero();
  }
  const std::lock_guard lock(state->mMutex);
  return state->mKeeper.Silence(aMember, mPrivate->mHooks.mNow());
}

} // namespace papayaspindle
