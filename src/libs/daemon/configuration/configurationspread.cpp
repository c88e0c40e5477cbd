#include "daemon/configuration/configurationspread.h"

#include "daemon/configuration/configurationmessages.h"
#include "interfaces/groups.h"
#include "interfaces/instances.h"
#include "interfaces/peercalls.h"
#include "observe/log.h"
#include "observe/metricregistry.h"
#include "observe/tracer.h"

#include <algorithm>
#include <utility>

namespace papayaspindle {

ConfigurationSpread::ConfigurationSpread(const ConfigurationReferences& aReferences,
                                         const ConfigurationManagerSettings& aSettings,
                                         ConfigurationStore& aStore)
  : mReferences(aReferences)
  , mSettings(aSettings)
  , mStore(aStore)
  , mStartedUnixMs(aReferences.mUnixMs())
  , mView(aSettings.mMaxLog)
  , mPlanner(aSettings.mSpread)
  , mTasks(aReferences.mSubmit)
{
}

void
ConfigurationSpread::Stop()
{
  mTasks.Stop();
}

std::uint64_t
ConfigurationSpread::Revision() const
{
  const std::lock_guard lock(mMutex);
  return mView.Revision();
}

std::optional<GroupSettings>
ConfigurationSpread::Find(const GroupId& aGroup) const
{
  const std::lock_guard lock(mMutex);
  const GroupSettings* settings = mView.Find(aGroup);
  return settings == nullptr ? std::nullopt : std::optional(*settings);
}

void
ConfigurationSpread::SubmitOnce(std::atomic<bool>& aUnderWay, std::function<void()> aTask)
{
  if (aUnderWay.exchange(true)) {
    return;
  }
  const bool accepted = mTasks.Submit([&aUnderWay, task = std::move(aTask)] {
    task();
    aUnderWay = false;
  });
  if (!accepted) {
    aUnderWay = false;
  }
}

void
ConfigurationSpread::Tick()
{
  const TimePoint now = mReferences.mNow();
  const bool delegate = mReferences.mIsDelegate();
  bool load = false;
  bool poll = false;
  bool snapshot = false;
  {
    const std::lock_guard lock(mMutex);
    load = !mLoaded && (!mNextLoad || now >= *mNextLoad);
    poll = mPlanner.IsPollDue(delegate, now) && mLoaded;
    snapshot = mSnapshotDue != 0 && (!mNextSnapshot || now >= *mNextSnapshot);
    if (load) {
      mNextLoad = now + mSettings.mStoreRetry;
    }
    if (snapshot) {
      mNextSnapshot = now + mSettings.mStoreRetry;
    }
  }
  if (load) {
    SubmitOnce(mStoreUnderWay, [this] { LoadFromStore(); });
  }
  if (poll) {
    SubmitOnce(mStoreUnderWay, [this] { ReadLog(); });
  }
  if (snapshot) {
    SubmitOnce(mSnapshotUnderWay, [this] { WriteSnapshot(); });
  }
  PushAdvance(delegate);
}

bool
ConfigurationSpread::Adopt(std::span<const ConfigurationChange> aChanges)
{
  std::vector<ConfigurationChange> applied;
  bool gap = false;
  {
    const std::lock_guard lock(mMutex);
    for (const ConfigurationChange& change : aChanges) {
      const ApplyResult offer = mView.Apply(change);
      gap = gap || offer == ApplyResult::Gap;
      if (offer == ApplyResult::Applied) {
        applied.push_back(change);
      }
    }
  }
  for (const ConfigurationChange& change : applied) {
    mReferences.mGroups.OfferSettings(change.mSettings);
    NoteSpread(change);
  }
  return gap;
}

void
ConfigurationSpread::NoteSpread(const ConfigurationChange& aChange)
{
  // A change from before the start is caught up with, not spread.
  if (aChange.mAcceptedUnixMs < mStartedUnixMs) {
    return;
  }
  Span span = mReferences.mTracer.Start("configuration_spread", "");
  const std::uint64_t now = mReferences.mUnixMs();
  const std::uint64_t spread =
    now > aChange.mAcceptedUnixMs ? now - aChange.mAcceptedUnixMs : 0;
  span.SetAttribute("revision", std::to_string(aChange.mRevision));
  span.SetAttribute("spread_ms", std::to_string(spread));
  mReferences.mMetrics.Record("configuration_spread", "ms", static_cast<double>(spread));
}

void
ConfigurationSpread::AdoptSnapshot(const ConfigurationSnapshot& aSnapshot)
{
  {
    const std::lock_guard lock(mMutex);
    if (!mView.Load(aSnapshot)) {
      return;
    }
  }
  for (const GroupSettings& group : aSnapshot.mGroups) {
    mReferences.mGroups.OfferSettings(group);
  }
  Log(LogLevel::Info,
      "configuration",
      "snapshot_loaded",
      { { "revision", std::to_string(aSnapshot.mRevision) } });
}

void
ConfigurationSpread::LoadFromStore()
{
  if (Revision() == 0) {
    const Result<ConfigurationSnapshot> snapshot =
      mStore.ReadSnapshot(mSettings.mSnapshotTimeout);
    if (IsOk(snapshot)) {
      AdoptSnapshot(ValueOf(snapshot));
    }
  }
  const bool loaded = ReadLog();
  if (!loaded) {
    Log(LogLevel::Warning, "configuration", "store_not_read");
  }
  const std::lock_guard lock(mMutex);
  mLoaded = loaded;
  // Peers catch up by themselves with what this instance has just caught up with.
  mPushedRevision = mView.Revision();
}

bool
ConfigurationSpread::ReadLog()
{
  for (;;) {
    const Result<ChangeLogPage> page =
      mStore.ReadLog(Revision(), mSettings.mStoreTimeout);
    if (!IsOk(page)) {
      mReferences.mMetrics.Add("configuration_log_failures");
      return false;
    }
    if (Adopt(ValueOf(page).mChanges)) {
      return false;
    }
    if (!ValueOf(page).mMore || ValueOf(page).mChanges.empty()) {
      return true;
    }
  }
}

void
ConfigurationSpread::WriteSnapshot()
{
  ConfigurationSnapshot snapshot;
  std::uint64_t due = 0;
  {
    const std::lock_guard lock(mMutex);
    snapshot = mView.Snapshot();
    due = mSnapshotDue;
  }
  if (snapshot.mRevision < due ||
      !IsOk(mStore.WriteSnapshot(snapshot, mSettings.mSnapshotTimeout))) {
    return;
  }
  const std::lock_guard lock(mMutex);
  mSnapshotDue = mSnapshotDue == due ? 0 : mSnapshotDue;
}

void
ConfigurationSpread::NoteCommitted(const ConfigurationChange& aChange)
{
  if (aChange.mRevision % mSettings.mSnapshotEvery == 0) {
    const std::lock_guard lock(mMutex);
    mSnapshotDue = aChange.mRevision;
  }
  if (Adopt(std::span(&aChange, 1))) {
    SubmitOnce(mStoreUnderWay, [this] { ReadLog(); });
  }
}

std::vector<InstanceInfo>
ConfigurationSpread::ZonePeers() const
{
  const InstanceInfo self = mReferences.mInstances.Self();
  std::vector<InstanceInfo> peers = mReferences.mInstances.Live();
  std::erase_if(peers, [&](const InstanceInfo& aPeer) {
    return aPeer.mInstance == self.mInstance ||
           aPeer.mAvailabilityZone != self.mAvailabilityZone;
  });
  return peers;
}

void
ConfigurationSpread::PushAdvance(bool aDelegate)
{
  std::uint64_t after = 0;
  std::uint64_t revision = 0;
  {
    const std::lock_guard lock(mMutex);
    after = mPushedRevision;
    revision = mView.Revision();
    mPushedRevision = revision;
  }
  if (!aDelegate || after == revision) {
    return;
  }
  const std::vector<InstanceInfo> peers = ZonePeers();
  std::vector<InstanceId> targets;
  {
    const std::lock_guard lock(mMutex);
    targets = mPlanner.PushTargets(peers, revision);
  }
  for (const InstanceInfo& peer : peers) {
    if (std::find(targets.begin(), targets.end(), peer.mInstance) != targets.end()) {
      mTasks.Submit([this, peer, after] { Push(peer, after, true); });
    }
  }
}

void
ConfigurationSpread::Push(const InstanceInfo& aPeer,
                          std::uint64_t aAfterRevision,
                          bool aFollowUp)
{
  std::optional<std::vector<ConfigurationChange>> changes;
  {
    const std::lock_guard lock(mMutex);
    changes = mView.ChangesAfter(aAfterRevision);
  }
  // Without the log the peer pulls a snapshot when a probe shows it the revision.
  if (!changes || changes->empty()) {
    return;
  }
  v1::PushConfigurationRequest request;
  for (const ConfigurationChange& change : *changes) {
    *request.add_changes() = ToMessage(change);
  }
  PeerCall call;
  call.mAddress = aPeer.mPeerAddress;
  call.mMethod = "PushConfiguration";
  call.mBody = request.SerializeAsString();
  call.mTimeout = mSettings.mPeerTimeout;
  const Result<std::string> answer = mReferences.mPeers.Call(call);
  v1::PushConfigurationReply reply;
  if (!IsOk(answer) || !reply.ParseFromString(ValueOf(answer))) {
    mReferences.mMetrics.Add("configuration_push_failures");
    return;
  }
  NotePeerRevision(aPeer, reply.revision());
  if (aFollowUp && reply.revision() < aAfterRevision) {
    Push(aPeer, reply.revision(), false);
  }
}

void
ConfigurationSpread::NotePeerRevision(const InstanceInfo& aPeer, std::uint64_t aRevision)
{
  std::optional<PullRequest> pull;
  {
    const std::lock_guard lock(mMutex);
    pull = mPlanner.UpdatePeerRevision(
      aPeer.mInstance, aRevision, mView.Revision(), mReferences.mNow());
  }
  if (pull) {
    mTasks.Submit([this, aPeer, after = pull->mAfterRevision] { Pull(aPeer, after); });
  }
}

void
ConfigurationSpread::Pull(const InstanceInfo& aPeer, std::uint64_t aAfterRevision)
{
  v1::PullConfigurationRequest request;
  request.set_after_revision(aAfterRevision);
  PeerCall call;
  call.mAddress = aPeer.mPeerAddress;
  call.mMethod = "PullConfiguration";
  call.mBody = request.SerializeAsString();
  call.mTimeout = mSettings.mPeerTimeout;
  const Result<std::string> answer = mReferences.mPeers.Call(call);
  v1::PullConfigurationReply reply;
  if (IsOk(answer) && reply.ParseFromString(ValueOf(answer))) {
    AdoptSnapshot(FromMessage(reply.snapshot()));
    std::vector<ConfigurationChange> changes;
    for (const v1::ConfigurationChange& change : reply.changes()) {
      changes.push_back(FromMessage(change));
    }
    Adopt(changes);
  }
  const std::lock_guard lock(mMutex);
  mPlanner.OnPullEnded();
}

Result<std::string>
ConfigurationSpread::HandlePull(const PeerRequest& aRequest)
{
  v1::PullConfigurationRequest request;
  if (!request.ParseFromString(aRequest.mBody)) {
    return Error{ ErrorKind::MalformedRequest, "the pull is malformed" };
  }
  v1::PullConfigurationReply reply;
  std::optional<std::vector<ConfigurationChange>> changes;
  ConfigurationSnapshot snapshot;
  {
    const std::lock_guard lock(mMutex);
    reply.set_revision(mView.Revision());
    changes = mView.ChangesAfter(request.after_revision());
    if (!changes) {
      snapshot = mView.Snapshot();
    }
  }
  if (!changes) {
    *reply.mutable_snapshot() = ToMessage(snapshot);
    return reply.SerializeAsString();
  }
  for (const ConfigurationChange& change : *changes) {
    *reply.add_changes() = ToMessage(change);
  }
  return reply.SerializeAsString();
}

Result<std::string>
ConfigurationSpread::HandlePush(const PeerRequest& aRequest)
{
  v1::PushConfigurationRequest request;
  if (!request.ParseFromString(aRequest.mBody)) {
    return Error{ ErrorKind::MalformedRequest, "the push is malformed" };
  }
  std::vector<ConfigurationChange> changes;
  for (const v1::ConfigurationChange& change : request.changes()) {
    changes.push_back(FromMessage(change));
  }
  // After a gap the reply's revision tells the sender what is missing.
  Adopt(changes);
  v1::PushConfigurationReply reply;
  reply.set_revision(Revision());
  return reply.SerializeAsString();
}

} // namespace papayaspindle
