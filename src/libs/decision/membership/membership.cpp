#include "decision/membership/membership.h"

#include "decision/membership/delegatechooser.h"

#include <utility>

namespace papayaspindle {

Membership::Membership(const InstanceInfo& aSelf,
                       MembershipSettings aSettings,
                       RandomHook aRandom)
  : mSettings(aSettings)
  , mTable(aSelf, aSettings)
  , mUrgentUpdates(aSettings)
  , mScheduler(aSettings, std::move(aRandom))
  , mPauseDetector(aSettings.mMaxTickGap)
{
  mUpdates.Add(aSelf);
}

bool
Membership::IsZoneDelegate()
{
  if (mIsDelegateVersion != mTable.Version()) {
    mIsDelegateVersion = mTable.Version();
    mIsDelegate = mTable.Self().mLiveness == Liveness::Alive &&
                  IsDelegate(mTable.Self(), mTable.LivePointers());
  }
  return mIsDelegate;
}

bool
Membership::MayActAsKeeper(TimePoint aNow) const
{
  if (mPauseDetector.IsTickOverdue(aNow)) {
    return false;
  }
  if (!mPauseDetector.UnconfirmedSince()) {
    return true;
  }
  for (const auto& [id, entry] : mTable.Entries()) {
    if (mTable.IsLivePeer(id)) {
      return false;
    }
  }
  return true;
}

MembershipActions
Membership::Tick(TimePoint aNow)
{
  MembershipActions actions;
  if (mPauseDetector.Tick(aNow)) {
    // Answers may have been missed during the pause, so unanswered probes prove nothing.
    mTable.RestartSuspicions(aNow);
    mPendingIndirectProbes.clear();
  }
  for (const InstanceInfo& died : mTable.ExpireSuspicions(aNow)) {
    PropagateChange(died, true, aNow, actions);
  }
  SendScheduledProbes(aNow, actions);
  SendUrgentUpdates(aNow, actions);
  return actions;
}

void
Membership::SendScheduledProbes(TimePoint aNow, MembershipActions& aActions)
{
  for (const ScheduledProbe& due : mScheduler.DueProbes(mTable, IsZoneDelegate(), aNow)) {
    SendProbe probe = MakeProbe(mTable.Find(due.mTarget)->mInfo, due.mKind, aNow);
    if (due.mAntiEntropy) {
      probe.mMessage.mDigest = mTable.Digest();
    }
    aActions.emplace_back(std::move(probe));
  }
}

void
Membership::SendUrgentUpdates(TimePoint aNow, MembershipActions& aActions)
{
  for (UrgentSend& send : mUrgentUpdates.DueSends(aNow)) {
    const InstanceEntry* entry = mTable.Find(send.mReceiver);
    if (entry == nullptr) {
      continue;
    }
    SendProbe probe = MakeProbe(entry->mInfo, ProbeKind::Urgent, aNow);
    probe.mMessage.mUpdates = std::move(send.mUpdates);
    aActions.emplace_back(std::move(probe));
  }
}

ProbeMessage
Membership::MakeMessage()
{
  ProbeMessage message;
  message.mSender = mTable.Self();
  message.mUpdates =
    mUpdates.TakeUpdates(mSettings.mMaxPiggybackedUpdates, mTable.Entries().size() + 1);
  return message;
}

SendProbe
Membership::MakeProbe(const InstanceInfo& aReceiver, ProbeKind aKind, TimePoint aNow)
{
  SendProbe probe;
  probe.mProbe = ++mLastProbe;
  probe.mReceiver = aReceiver.mInstance;
  probe.mAddress = aReceiver.mPeerAddress;
  probe.mMessage = MakeMessage();
  // A suspect or dead receiver can refute only reports that it receives.
  const InstanceEntry* entry = mTable.Find(aReceiver.mInstance);
  if (entry != nullptr && entry->mHasAnswered && aReceiver.mLiveness != Liveness::Alive) {
    probe.mMessage.mUpdates.push_back(aReceiver);
  }
  probe.mTimeout =
    aKind == ProbeKind::Indirect ? mSettings.mIndirectTimeout : mSettings.mProbeTimeout;
  mProbesInFlight[probe.mProbe] = { aKind, aReceiver.mInstance, InstanceId(), aNow };
  return probe;
}

ProbeAnswer
Membership::HandleProbe(const ProbeMessage& aProbe, TimePoint aNow)
{
  ProbeAnswer answer;
  MergeMessage(aProbe, aNow, answer.mActions);
  answer.mReply = MakeMessage();
  const InstanceEntry* sender = mTable.Find(aProbe.mSender.mInstance);
  if (sender != nullptr && sender->mInfo.mLiveness != aProbe.mSender.mLiveness) {
    answer.mReply.mUpdates.push_back(sender->mInfo);
  }
  answer.mReply.mEntries = mTable.DifferingEntries(aProbe.mDigest);
  // This table may be the one that lacks entries.
  if (mTable.DiffersWidelyFrom(aProbe.mDigest)) {
    mScheduler.RequestAntiEntropy();
  }
  return answer;
}

std::optional<SendProbe>
Membership::MakeHelperProbe(const InstanceId& aTarget, TimePoint aNow)
{
  const InstanceEntry* entry = mTable.Find(aTarget);
  if (entry == nullptr) {
    return std::nullopt;
  }
  return MakeProbe(entry->mInfo, ProbeKind::Help, aNow);
}

MembershipActions
Membership::HandleReply(ProbeId aProbe, const ProbeMessage& aReply, TimePoint aNow)
{
  const auto found = mProbesInFlight.find(aProbe);
  if (found == mProbesInFlight.end()) {
    return {};
  }
  // Another instance may have taken over the address of the probed one.
  if (aReply.mSender.mInstance != found->second.mReceiver) {
    MembershipActions actions = HandleNoReply(aProbe, aNow);
    MergeMessage(aReply, aNow, actions);
    return actions;
  }
  const ProbeInFlight probe = found->second;
  mProbesInFlight.erase(found);
  mPauseDetector.RecordAnswer(probe.mSentAt);
  MembershipActions actions;
  MergeMessage(aReply, aNow, actions);
  if (probe.mKind == ProbeKind::Urgent) {
    mUrgentUpdates.MarkDelivered(probe.mReceiver);
  }
  if (probe.mKind == ProbeKind::Indirect) {
    RecordIndirectResult(probe, aReply.mTargetAnswered, aNow, actions);
  }
  return actions;
}

MembershipActions
Membership::HandleNoReply(ProbeId aProbe, TimePoint aNow)
{
  const auto found = mProbesInFlight.find(aProbe);
  if (found == mProbesInFlight.end()) {
    return {};
  }
  const ProbeInFlight probe = found->second;
  mProbesInFlight.erase(found);
  MembershipActions actions;
  const auto resumed = mPauseDetector.UnconfirmedSince();
  if (resumed && probe.mSentAt < *resumed) {
    return actions;
  }
  switch (probe.mKind) {
    case ProbeKind::Round:
    case ProbeKind::Verify:
    case ProbeKind::CrossZone:
      SendIndirectProbes(probe.mReceiver, aNow, actions);
      break;
    case ProbeKind::Indirect:
      RecordIndirectResult(probe, false, aNow, actions);
      break;
    case ProbeKind::Rejoin:
    case ProbeKind::Urgent:
    case ProbeKind::Help:
      break;
  }
  return actions;
}

void
Membership::AbandonProbe(ProbeId aProbe)
{
  const auto found = mProbesInFlight.find(aProbe);
  if (found == mProbesInFlight.end()) {
    return;
  }
  // Without this helper's result the target is not suspected in this round.
  if (found->second.mKind == ProbeKind::Indirect) {
    mPendingIndirectProbes.erase(found->second.mTarget);
  }
  mProbesInFlight.erase(found);
}

void
Membership::SendIndirectProbes(const InstanceId& aTarget,
                               TimePoint aNow,
                               MembershipActions& aActions)
{
  const InstanceEntry* entry = mTable.Find(aTarget);
  if (entry == nullptr || !entry->mHasAnswered || entry->mUnresponsiveHere ||
      mPendingIndirectProbes.contains(aTarget)) {
    return;
  }
  const std::vector<InstanceInfo> helpers = mScheduler.ChooseHelpers(mTable, aTarget);
  if (helpers.empty()) {
    MarkUnresponsive(aTarget, aNow, aActions);
    return;
  }
  mPendingIndirectProbes[aTarget] = helpers.size();
  for (const InstanceInfo& helper : helpers) {
    SendProbe probe = MakeProbe(helper, ProbeKind::Indirect, aNow);
    probe.mMessage.mTarget = aTarget;
    mProbesInFlight[probe.mProbe].mTarget = aTarget;
    aActions.emplace_back(std::move(probe));
  }
}

void
Membership::RecordIndirectResult(const ProbeInFlight& aProbe,
                                 bool aAnswered,
                                 TimePoint aNow,
                                 MembershipActions& aActions)
{
  const auto waiting = mPendingIndirectProbes.find(aProbe.mTarget);
  if (waiting == mPendingIndirectProbes.end()) {
    return;
  }
  if (aAnswered) {
    mPendingIndirectProbes.erase(waiting);
    return;
  }
  if (--waiting->second == 0) {
    mPendingIndirectProbes.erase(waiting);
    MarkUnresponsive(aProbe.mTarget, aNow, aActions);
  }
}

void
Membership::MarkUnresponsive(const InstanceId& aTarget,
                             TimePoint aNow,
                             MembershipActions& aActions)
{
  if (const auto changed = mTable.MarkUnresponsive(aTarget, aNow)) {
    PropagateChange(*changed, true, aNow, aActions);
  }
}

void
Membership::CheckIsolationEnded(const InstanceInfo& aSender)
{
  const AvailabilityZone& ownZone = mTable.Self().mAvailabilityZone;
  const InstanceEntry* sender = mTable.Find(aSender.mInstance);
  if (sender == nullptr || sender->mInfo.mLiveness != Liveness::Dead ||
      sender->mInfo.mAvailabilityZone != ownZone) {
    return;
  }
  for (const auto& [id, entry] : mTable.Entries()) {
    if (entry.mInfo.mAvailabilityZone == ownZone && mTable.IsLivePeer(id)) {
      return;
    }
  }
  mTable.ResetDeadInstances();
  mUpdates = UpdateQueue();
  mUpdates.Add(mTable.Self());
  mUrgentUpdates = UrgentPropagation(mSettings);
}

void
Membership::MergeMessage(const ProbeMessage& aMessage,
                         TimePoint aNow,
                         MembershipActions& aActions)
{
  CheckIsolationEnded(aMessage.mSender);
  if (const auto changed = mTable.RecordMessageFrom(aMessage.mSender, aNow)) {
    PropagateChange(*changed, false, aNow, aActions);
  }
  const AvailabilityZone& zone = aMessage.mSender.mAvailabilityZone;
  for (const InstanceInfo& update : aMessage.mUpdates) {
    if (const auto changed = mTable.Apply(update, zone, aNow)) {
      PropagateChange(*changed, false, aNow, aActions);
    }
  }
  std::vector<InstanceInfo> changedEntries;
  for (const InstanceInfo& entry : aMessage.mEntries) {
    if (auto changed = mTable.ApplyTableEntry(entry, zone, aNow)) {
      changedEntries.push_back(std::move(*changed));
    }
  }
  // The other instances already have the entries that a joining instance fetches. Sending
  // them on would fill its probes for hours in a deployment of the largest size.
  const bool fitsInProbe = changedEntries.size() <= mSettings.mMaxPiggybackedUpdates;
  for (const InstanceInfo& changed : changedEntries) {
    aActions.emplace_back(InstanceChanged{ changed });
    if (fitsInProbe) {
      mUpdates.Add(changed);
    }
  }
  if (!fitsInProbe) {
    mScheduler.RequestAntiEntropy();
  }
}

void
Membership::PropagateChange(const InstanceInfo& aChanged,
                            bool aIsOrigin,
                            TimePoint aNow,
                            MembershipActions& aActions)
{
  mUpdates.Add(aChanged);
  aActions.emplace_back(InstanceChanged{ aChanged });
  const bool self = aChanged.mInstance == mTable.Self().mInstance;
  if (self && aChanged.mLiveness == Liveness::Leaving) {
    aActions.emplace_back(SelfMarkedLeaving{});
  }
  if (aChanged.mLiveness == Liveness::Leaving || aChanged.mLiveness == Liveness::Dead) {
    PropagateUrgently(aChanged, aIsOrigin || self, aNow);
  }
}

void
Membership::PropagateUrgently(const InstanceInfo& aChanged,
                              bool aIsOrigin,
                              TimePoint aNow)
{
  const bool delegate = IsZoneDelegate();
  if (!delegate && !aIsOrigin) {
    return;
  }
  const AvailabilityZone& ownZone = mTable.Self().mAvailabilityZone;
  for (const auto& [zone, ranked] : RankByZone(mTable.LivePointers())) {
    const bool sendToWholeZone = delegate && zone == ownZone;
    const std::size_t delegates = aIsOrigin ? kDelegatesPerZone : 0;
    for (std::size_t rank = 0; rank < ranked.size(); ++rank) {
      const InstanceId& receiver = ranked[rank]->mInstance;
      const bool other =
        receiver != mTable.Self().mInstance && receiver != aChanged.mInstance;
      if (other && (sendToWholeZone || rank < delegates)) {
        mUrgentUpdates.Add(receiver, aChanged, aNow);
      }
    }
  }
}

MembershipActions
Membership::HandleListing(std::span<const ListedCandidate> aListed, TimePoint aNow)
{
  MembershipActions actions;
  for (const InstanceInfo& changed : mTable.MergeListing(aListed, aNow)) {
    PropagateChange(changed, true, aNow, actions);
  }
  return actions;
}

MembershipActions
Membership::AnnounceLeaving(TimePoint aNow)
{
  MembershipActions actions;
  if (mTable.Self().mLiveness == Liveness::Leaving) {
    return actions;
  }
  const InstanceInfo self = mTable.MarkSelfLeaving();
  mUpdates.Add(self);
  actions.emplace_back(InstanceChanged{ self });
  PropagateUrgently(self, true, aNow);
  return actions;
}

} // namespace papayaspindle
