#include "decision/membership/membership.h"

#include "decision/membership/delegatechooser.h"

#include <utility>

namespace papayaspindle {

Membership::Membership(const InstanceInfo& aSelf,
                       MembershipSettings aSettings,
                       RandomHook aRandom)
  : mSettings(aSettings)
  , mTable(aSelf, aSettings)
  , mUrgent(aSettings)
  , mScheduler(aSettings, std::move(aRandom))
  , mPause(aSettings.mPauseGap)
{
  mUpdates.Add(aSelf);
}

bool
Membership::IsZoneDelegate()
{
  if (mDelegateVersion != mTable.Version()) {
    mDelegateVersion = mTable.Version();
    mDelegate = mTable.Self().mLiveness == Liveness::Alive &&
                IsDelegate(mTable.Self(), mTable.LivePointers());
  }
  return mDelegate;
}

bool
Membership::MayActAsKeeper(TimePoint aNow) const
{
  if (mPause.IsOverdue(aNow)) {
    return false;
  }
  if (!mPause.UnconfirmedSince()) {
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
  if (mPause.Tick(aNow)) {
    // Answers may have been missed during the pause, so silence proves nothing.
    mTable.RestartSuspicions(aNow);
    mIndirect.clear();
  }
  for (const InstanceInfo& died : mTable.Expire(aNow)) {
    NoteChange(died, true, aNow, actions);
  }
  SendDue(aNow, actions);
  SendUrgent(aNow, actions);
  return actions;
}

void
Membership::SendDue(TimePoint aNow, MembershipActions& aActions)
{
  for (const ScheduledProbe& due : mScheduler.Due(mTable, IsZoneDelegate(), aNow)) {
    SendProbe probe = MakeProbe(mTable.Find(due.mTarget)->mInfo, due.mKind, aNow);
    if (due.mAntiEntropy) {
      probe.mMessage.mDigest = mTable.Digest();
    }
    aActions.emplace_back(std::move(probe));
  }
}

void
Membership::SendUrgent(TimePoint aNow, MembershipActions& aActions)
{
  for (UrgentSend& send : mUrgent.Due(aNow)) {
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
  message.mUpdates = mUpdates.Take(mSettings.mMaxPiggyback, mTable.Entries().size() + 1);
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
  // A suspected or dead receiver can refute only what it hears.
  const InstanceEntry* entry = mTable.Find(aReceiver.mInstance);
  if (entry != nullptr && entry->mHeard && aReceiver.mLiveness != Liveness::Alive) {
    probe.mMessage.mUpdates.push_back(aReceiver);
  }
  probe.mTimeout =
    aKind == ProbeKind::Indirect ? mSettings.mIndirectTimeout : mSettings.mProbeTimeout;
  mFlights[probe.mProbe] = { aKind, aReceiver.mInstance, InstanceId(), aNow };
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
  answer.mReply.mEntries = mTable.EntriesThatDiffer(aProbe.mDigest);
  // This table may be the one that lacks entries.
  if (mTable.IsFarFrom(aProbe.mDigest)) {
    mScheduler.HastenAntiEntropy();
  }
  return answer;
}

std::optional<SendProbe>
Membership::HelpProbe(const InstanceId& aTarget, TimePoint aNow)
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
  const auto found = mFlights.find(aProbe);
  if (found == mFlights.end()) {
    return {};
  }
  // Another instance may have taken over the address of the one that was probed.
  if (aReply.mSender.mInstance != found->second.mReceiver) {
    MembershipActions actions = HandleSilence(aProbe, aNow);
    MergeMessage(aReply, aNow, actions);
    return actions;
  }
  const Flight flight = found->second;
  mFlights.erase(found);
  mPause.NoteAnswer(flight.mSent);
  MembershipActions actions;
  MergeMessage(aReply, aNow, actions);
  if (flight.mKind == ProbeKind::Urgent) {
    mUrgent.NoteAnswered(flight.mReceiver);
  }
  if (flight.mKind == ProbeKind::Indirect) {
    NoteIndirect(flight, aReply.mTargetAnswered, aNow, actions);
  }
  return actions;
}

MembershipActions
Membership::HandleSilence(ProbeId aProbe, TimePoint aNow)
{
  const auto found = mFlights.find(aProbe);
  if (found == mFlights.end()) {
    return {};
  }
  const Flight flight = found->second;
  mFlights.erase(found);
  MembershipActions actions;
  const auto resumed = mPause.UnconfirmedSince();
  if (resumed && flight.mSent < *resumed) {
    return actions;
  }
  switch (flight.mKind) {
    case ProbeKind::Round:
    case ProbeKind::Verify:
    case ProbeKind::CrossZone:
      SendIndirect(flight.mReceiver, aNow, actions);
      break;
    case ProbeKind::Indirect:
      NoteIndirect(flight, false, aNow, actions);
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
  const auto found = mFlights.find(aProbe);
  if (found == mFlights.end()) {
    return;
  }
  // Without this helper's verdict the target is not suspected in this round.
  if (found->second.mKind == ProbeKind::Indirect) {
    mIndirect.erase(found->second.mTarget);
  }
  mFlights.erase(found);
}

void
Membership::SendIndirect(const InstanceId& aTarget,
                         TimePoint aNow,
                         MembershipActions& aActions)
{
  const InstanceEntry* entry = mTable.Find(aTarget);
  if (entry == nullptr || !entry->mHeard || entry->mSilentHere ||
      mIndirect.contains(aTarget)) {
    return;
  }
  const std::vector<InstanceInfo> helpers = mScheduler.Helpers(mTable, aTarget);
  if (helpers.empty()) {
    NoteSilent(aTarget, aNow, aActions);
    return;
  }
  mIndirect[aTarget] = helpers.size();
  for (const InstanceInfo& helper : helpers) {
    SendProbe probe = MakeProbe(helper, ProbeKind::Indirect, aNow);
    probe.mMessage.mTarget = aTarget;
    mFlights[probe.mProbe].mTarget = aTarget;
    aActions.emplace_back(std::move(probe));
  }
}

void
Membership::NoteIndirect(const Flight& aFlight,
                         bool aAnswered,
                         TimePoint aNow,
                         MembershipActions& aActions)
{
  const auto waiting = mIndirect.find(aFlight.mTarget);
  if (waiting == mIndirect.end()) {
    return;
  }
  if (aAnswered) {
    mIndirect.erase(waiting);
    return;
  }
  if (--waiting->second == 0) {
    mIndirect.erase(waiting);
    NoteSilent(aFlight.mTarget, aNow, aActions);
  }
}

void
Membership::NoteSilent(const InstanceId& aTarget,
                       TimePoint aNow,
                       MembershipActions& aActions)
{
  if (const auto changed = mTable.NoteSilent(aTarget, aNow)) {
    NoteChange(*changed, true, aNow, aActions);
  }
}

void
Membership::EndIsolation(const InstanceInfo& aSender)
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
  mTable.ForgetDeaths();
  mUpdates = UpdateQueue();
  mUpdates.Add(mTable.Self());
  mUrgent = UrgentSpread(mSettings);
}

void
Membership::MergeMessage(const ProbeMessage& aMessage,
                         TimePoint aNow,
                         MembershipActions& aActions)
{
  EndIsolation(aMessage.mSender);
  if (const auto changed = mTable.NoteHeard(aMessage.mSender, aNow)) {
    NoteChange(*changed, false, aNow, aActions);
  }
  const AvailabilityZone& zone = aMessage.mSender.mAvailabilityZone;
  for (const InstanceInfo& update : aMessage.mUpdates) {
    if (const auto changed = mTable.Apply(update, zone, aNow)) {
      NoteChange(*changed, false, aNow, aActions);
    }
  }
  std::vector<InstanceInfo> news;
  for (const InstanceInfo& entry : aMessage.mEntries) {
    if (auto changed = mTable.ApplyEntry(entry, zone, aNow)) {
      news.push_back(std::move(*changed));
    }
  }
  // The entries that a joining instance fetches are old news to the others; sending them
  // on would fill its probes for hours at full size.
  const bool few = news.size() <= mSettings.mMaxPiggyback;
  for (const InstanceInfo& changed : news) {
    aActions.emplace_back(InstanceChanged{ changed });
    if (few) {
      mUpdates.Add(changed);
    }
  }
  if (!few) {
    mScheduler.HastenAntiEntropy();
  }
}

void
Membership::NoteChange(const InstanceInfo& aChanged,
                       bool aOriginated,
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
    SpreadUrgently(aChanged, aOriginated || self, aNow);
  }
}

void
Membership::SpreadUrgently(const InstanceInfo& aChanged, bool aOriginated, TimePoint aNow)
{
  const bool delegate = IsZoneDelegate();
  if (!delegate && !aOriginated) {
    return;
  }
  const AvailabilityZone& ownZone = mTable.Self().mAvailabilityZone;
  for (const auto& [zone, ranked] : RankByZone(mTable.LivePointers())) {
    const bool wholeZone = delegate && zone == ownZone;
    const std::size_t delegates = aOriginated ? kDelegatesPerZone : 0;
    for (std::size_t rank = 0; rank < ranked.size(); ++rank) {
      const InstanceId& receiver = ranked[rank]->mInstance;
      const bool other =
        receiver != mTable.Self().mInstance && receiver != aChanged.mInstance;
      if (other && (wholeZone || rank < delegates)) {
        mUrgent.Add(receiver, aChanged, aNow);
      }
    }
  }
}

MembershipActions
Membership::HandleListing(std::span<const ListedCandidate> aListed, TimePoint aNow)
{
  MembershipActions actions;
  for (const InstanceInfo& changed : mTable.MergeListing(aListed, aNow)) {
    NoteChange(changed, true, aNow, actions);
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
  SpreadUrgently(self, true, aNow);
  return actions;
}

} // namespace papayaspindle
