#include "daemon/membership/membershipmanager.h"

#include "daemon/membership/probemessages.h"
#include "decision/membership/membership.h"
#include "interfaces/instancelisting.h"
#include "interfaces/peercalls.h"
#include "interfaces/peerhandlers.h"
#include "observe/log.h"
#include "observe/metricregistry.h"
#include "runtime/periodictask.h"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace papayaspindle {

namespace {

constexpr std::string_view kProbeMethod = "Probe";

InstanceInfo
WithIncarnation(InstanceInfo aSelf)
{
  if (aSelf.mIncarnation == 0) {
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(now);
    aSelf.mIncarnation = static_cast<std::uint64_t>(ms.count());
  }
  return aSelf;
}

std::string
LivenessName(Liveness aLiveness)
{
  switch (aLiveness) {
    case Liveness::Alive:
      return "alive";
    case Liveness::Suspect:
      return "suspect";
    case Liveness::Dead:
      return "dead";
    case Liveness::Leaving:
      return "leaving";
  }
  return "unknown";
}

} // namespace

struct MembershipManager::Private
{
  Private(const MembershipReferences& aReferences, MembershipManagerSettings aSettings)
    : mReferences(aReferences)
    , mSettings(std::move(aSettings))
    , mMembership(WithIncarnation(mSettings.mSelf),
                  mSettings.mProtocol,
                  mReferences.mRandom)
    , mTasks(mReferences.mSubmit)
  {
  }

  MembershipReferences mReferences;
  MembershipManagerSettings mSettings;
  std::vector<ChangeListener> mListeners;
  std::function<void()> mLeavingHook;
  RevisionHooks mRevisionHooks;
  mutable std::mutex mMutex;
  Membership mMembership;
  std::optional<TimePoint> mNextListing;
  std::atomic<bool> mListingUnderWay = false;
  TaskGroup mTasks;
  std::unique_ptr<PeriodicTask> mTicker;

  std::uint64_t OwnRevision() const;
  void NoteRevision(const InstanceInfo& aPeer, std::uint64_t aRevision) const;
  void Tick();
  bool ListingDue();
  void ReadListing();
  void Perform(const MembershipActions& aActions);
  void Perform(const SendProbe& aProbe);
  void Perform(const InstanceChanged& aChange) const;
  void Perform(const SelfMarkedLeaving& aMark) const;
  bool RunProbe(const SendProbe& aProbe);
  Result<std::string> HandleProbe(const PeerRequest& aRequest);
  bool ProbeTarget(const InstanceId& aTarget);
};

std::uint64_t
MembershipManager::Private::OwnRevision() const
{
  return mRevisionHooks.mOwn ? mRevisionHooks.mOwn() : 0;
}

void
MembershipManager::Private::NoteRevision(const InstanceInfo& aPeer,
                                         std::uint64_t aRevision) const
{
  if (mRevisionHooks.mSeen) {
    mRevisionHooks.mSeen(aPeer, aRevision);
  }
}

void
MembershipManager::Private::Tick()
{
  MembershipActions actions;
  {
    const std::lock_guard lock(mMutex);
    actions = mMembership.Tick(mReferences.mNow());
  }
  Perform(actions);
  if (ListingDue() && !mTasks.Submit([this] { ReadListing(); })) {
    mListingUnderWay = false;
  }
}

bool
MembershipManager::Private::ListingDue()
{
  const std::lock_guard lock(mMutex);
  const TimePoint now = mReferences.mNow();
  // A delegate may have become one since the next reading was set.
  const auto interval = mMembership.IsZoneDelegate() ? mSettings.mListInterval
                                                     : mSettings.mFollowerListInterval;
  if (mNextListing && now < std::min(*mNextListing, now + interval)) {
    mNextListing = std::min(*mNextListing, now + interval);
    return false;
  }
  if (mListingUnderWay.exchange(true)) {
    return false;
  }
  mNextListing = now + interval;
  return true;
}

void
MembershipManager::Private::ReadListing()
{
  const Result<v1::ListInstancesReply> reply =
    mReferences.mListing.List(mSettings.mListTimeout);
  mListingUnderWay = false;
  if (!IsOk(reply)) {
    mReferences.mMetrics.Add("membership_listing_failures");
    return;
  }
  MembershipActions actions;
  {
    const std::lock_guard lock(mMutex);
    actions = mMembership.HandleListing(FromListing(ValueOf(reply)), mReferences.mNow());
  }
  Perform(actions);
}

void
MembershipManager::Private::Perform(const MembershipActions& aActions)
{
  for (const MembershipAction& action : aActions) {
    std::visit([this](const auto& aAction) { Perform(aAction); }, action);
  }
}

void
MembershipManager::Private::Perform(const SendProbe& aProbe)
{
  const TimePoint queued = mReferences.mNow();
  const bool accepted = mTasks.Submit([this, aProbe, queued] {
    // A probe that waited for a worker would be counted against its receiver.
    if (mReferences.mNow() - queued <= mSettings.mProtocol.mProbeInterval) {
      RunProbe(aProbe);
      return;
    }
    mReferences.mMetrics.Add("membership_probes_abandoned");
    const std::lock_guard lock(mMutex);
    mMembership.AbandonProbe(aProbe.mProbe);
  });
  if (!accepted) {
    mReferences.mMetrics.Add("membership_probes_abandoned");
    const std::lock_guard lock(mMutex);
    mMembership.AbandonProbe(aProbe.mProbe);
  }
}

void
MembershipManager::Private::Perform(const InstanceChanged& aChange) const
{
  Log(LogLevel::Info,
      "membership",
      "instance_changed",
      { { "instance", aChange.mInstance.mInstance.Text() },
        { "state", LivenessName(aChange.mInstance.mLiveness) },
        { "incarnation", std::to_string(aChange.mInstance.mIncarnation) } });
  for (const ChangeListener& listener : mListeners) {
    listener(aChange.mInstance);
  }
}

void
MembershipManager::Private::Perform(const SelfMarkedLeaving& /*aMark*/) const
{
  Log(LogLevel::Info, "membership", "marked_leaving");
  if (mLeavingHook) {
    mLeavingHook();
  }
}

bool
MembershipManager::Private::RunProbe(const SendProbe& aProbe)
{
  PeerCall call;
  call.mAddress = aProbe.mAddress;
  call.mMethod = kProbeMethod;
  call.mBody = ToProbeRequest(aProbe.mMessage, OwnRevision()).SerializeAsString();
  call.mTimeout = aProbe.mTimeout;
  const Result<std::string> answer = mReferences.mPeers.Call(call);
  mReferences.mMetrics.Add("membership_probes");
  v1::ProbeReply reply;
  const bool answered = IsOk(answer) && reply.ParseFromString(ValueOf(answer));
  const ProbeMessage message = answered ? FromProbeReply(reply) : ProbeMessage();
  MembershipActions actions;
  {
    const std::lock_guard lock(mMutex);
    const TimePoint now = mReferences.mNow();
    actions = answered ? mMembership.HandleReply(aProbe.mProbe, message, now)
                       : mMembership.HandleNoReply(aProbe.mProbe, now);
  }
  Perform(actions);
  if (answered) {
    NoteRevision(message.mSender, reply.configuration_revision());
  }
  return answered && message.mSender.mInstance == aProbe.mReceiver;
}

bool
MembershipManager::Private::ProbeTarget(const InstanceId& aTarget)
{
  std::optional<SendProbe> probe;
  {
    const std::lock_guard lock(mMutex);
    probe = mMembership.MakeHelperProbe(aTarget, mReferences.mNow());
  }
  return probe && RunProbe(*probe);
}

Result<std::string>
MembershipManager::Private::HandleProbe(const PeerRequest& aRequest)
{
  v1::ProbeRequest request;
  if (!request.ParseFromString(aRequest.mBody) || request.sender().instance().empty()) {
    return Error{ ErrorKind::MalformedRequest, "the probe is malformed" };
  }
  const ProbeMessage message = FromProbeRequest(request);
  ProbeAnswer answer;
  {
    const std::lock_guard lock(mMutex);
    answer = mMembership.HandleProbe(message, mReferences.mNow());
  }
  Perform(answer.mActions);
  NoteRevision(message.mSender, request.configuration_revision());
  if (!message.mTarget.IsEmpty()) {
    answer.mReply.mTargetAnswered = ProbeTarget(message.mTarget);
  }
  return ToProbeReply(answer.mReply, OwnRevision()).SerializeAsString();
}

MembershipManager::MembershipManager(const MembershipReferences& aReferences,
                                     MembershipManagerSettings aSettings)
  : mPrivate(std::make_unique<Private>(aReferences, std::move(aSettings)))
{
  aReferences.mHandlers.Register(kProbeMethod, [this](const PeerRequest& aRequest) {
    return mPrivate->HandleProbe(aRequest);
  });
}

MembershipManager::~MembershipManager()
{
  Stop();
}

void
MembershipManager::AddListener(ChangeListener aListener)
{
  mPrivate->mListeners.push_back(std::move(aListener));
}

void
MembershipManager::SetLeavingHook(std::function<void()> aHook)
{
  mPrivate->mLeavingHook = std::move(aHook);
}

void
MembershipManager::SetRevisionHooks(RevisionHooks aHooks)
{
  mPrivate->mRevisionHooks = std::move(aHooks);
}

void
MembershipManager::Start()
{
  mPrivate->mTicker =
    std::make_unique<PeriodicTask>(mPrivate->mSettings.mTickInterval, [this] { Tick(); });
}

void
MembershipManager::Stop()
{
  mPrivate->mTicker.reset();
  mPrivate->mTasks.Stop();
}

void
MembershipManager::Tick()
{
  mPrivate->Tick();
}

void
MembershipManager::AnnounceLeaving()
{
  MembershipActions actions;
  {
    const std::lock_guard lock(mPrivate->mMutex);
    actions = mPrivate->mMembership.AnnounceLeaving(mPrivate->mReferences.mNow());
  }
  mPrivate->Perform(actions);
}

bool
MembershipManager::IsZoneDelegate() const
{
  const std::lock_guard lock(mPrivate->mMutex);
  return mPrivate->mMembership.IsZoneDelegate();
}

InstanceInfo
MembershipManager::Self() const
{
  const std::lock_guard lock(mPrivate->mMutex);
  return mPrivate->mMembership.Table().Self();
}

std::vector<InstanceInfo>
MembershipManager::Live() const
{
  const std::lock_guard lock(mPrivate->mMutex);
  return mPrivate->mMembership.Table().Live();
}

std::vector<InstanceInfo>
MembershipManager::All() const
{
  const std::lock_guard lock(mPrivate->mMutex);
  return mPrivate->mMembership.Table().All();
}

std::optional<InstanceInfo>
MembershipManager::Find(const InstanceId& aInstance) const
{
  const std::lock_guard lock(mPrivate->mMutex);
  const InstanceTable& table = mPrivate->mMembership.Table();
  if (aInstance == table.Self().mInstance) {
    return table.Self();
  }
  const InstanceEntry* entry = table.Find(aInstance);
  if (entry == nullptr) {
    return std::nullopt;
  }
  // A candidate that never answered counts as dead, as in All().
  InstanceInfo info = entry->mInfo;
  if (!entry->mHasAnswered && info.mLiveness != Liveness::Leaving) {
    info.mLiveness = Liveness::Dead;
  }
  return info;
}

bool
MembershipManager::MayActAsKeeper() const
{
  const std::lock_guard lock(mPrivate->mMutex);
  return mPrivate->mMembership.MayActAsKeeper(mPrivate->mReferences.mNow());
}

} // namespace papayaspindle
