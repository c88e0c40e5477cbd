#include "daemon/connections/allowancesync.h"

#include "daemon/connections/poolshares.h"
#include "decision/allowance/keeperclaim.h"
#include "interfaces/groups.h"
#include "interfaces/homes.h"
#include "interfaces/instancelisting.h"
#include "interfaces/instances.h"
#include "observe/log.h"
#include "observe/metricregistry.h"

#include <algorithm>
#include <utility>

namespace papayaspindle {

namespace {

constexpr std::chrono::milliseconds kListTimeout{ 500 };
/** Pause between two reads of a record in which nothing is expected to change. At full
 * size, 15,000 keepers' reads come to 500 a second. */
constexpr std::chrono::seconds kQuietRead{ 30 };
/** Pause at an instance that was a home and has nothing to release; a keeper with an
 * older view of the homes may still give it a floor. */
constexpr std::chrono::minutes kFormerRead{ 5 };
/** Pause while a release or a claim of another instance is awaited. */
constexpr std::chrono::seconds kAwaitingRead{ 2 };

} // namespace

AllowanceSync::AllowanceSync(const AllowanceServices& aServices,
                             ShareState& aState,
                             const OwnGroups& aOwnGroups,
                             NowHook aNow,
                             std::function<void(const GroupId&)> aChanged)
  : mServices(aServices)
  , mState(aState)
  , mOwnGroups(aOwnGroups)
  , mNow(std::move(aNow))
  , mChanged(std::move(aChanged))
  , mStore(aServices.mTables)
  , mListed(aState.mSelf)
{
}

void
AllowanceSync::Round()
{
  mStoreFailed = false;
  mWatched.clear();
  const std::set<GroupId> groups = mState.Known(mOwnGroups.List());
  const bool keeps = std::any_of(groups.begin(), groups.end(), [this](const auto& aName) {
    return mServices.mHomes.OwnRank(aName) == 0;
  });
  if (keeps) {
    RenewAuthority();
    ReadListing();
  }
  for (const GroupId& group : groups) {
    if (mStoreFailed) {
      return;
    }
    SyncGroup(group);
  }
}

void
AllowanceSync::GiveUp()
{
  std::vector<AllocationRecord> claimed;
  {
    const std::lock_guard lock(mState.mMutex);
    for (const auto& [group, share] : mState.mShares) {
      if (share.mRecord && share.mRecord->mKeeper == mState.mSelf) {
        claimed.push_back(*share.mRecord);
      }
    }
  }
  mStoreFailed = false;
  for (const AllocationRecord& record : claimed) {
    if (!mStoreFailed) {
      GiveUpClaim(record);
    }
  }
  const Result<AuthorityRow> row = mStore.ReadAuthority(mState.mSelf);
  if (!IsOk(row)) {
    return;
  }
  std::optional<AuthorityRow> next;
  {
    const std::lock_guard lock(mState.mMutex);
    next = mState.mAuthority.Relinquish(ValueOf(row));
  }
  if (next) {
    // A failure costs the successors their wait of 30 s and nothing else.
    (void)mStore.Write({ std::nullopt, mState.mSelf, next });
  }
}

void
AllowanceSync::RenewAuthority()
{
  {
    const std::lock_guard lock(mState.mMutex);
    if (!mState.mAuthority.IsDue(mNow())) {
      return;
    }
  }
  const Result<AuthorityRow> row = mStore.ReadAuthority(mState.mSelf);
  if (!IsOk(row)) {
    mStoreFailed = true;
    const std::lock_guard lock(mState.mMutex);
    mState.mAuthority.OnCycleFailed(mNow());
    return;
  }
  std::optional<AuthorityRow> next;
  {
    const std::lock_guard lock(mState.mMutex);
    next = mState.mAuthority.OnRow(ValueOf(row), mNow());
  }
  if (!next) {
    return;
  }
  const Result<WriteOutcome> written = mStore.Write({ std::nullopt, mState.mSelf, next });
  const std::lock_guard lock(mState.mMutex);
  if (IsOk(written) && ValueOf(written) == WriteOutcome::Committed) {
    mState.mAuthority.OnCommitted(next->mSerial);
    mServices.mMetrics.Add("allowance.authority_renewed");
    return;
  }
  // A write whose outcome is unknown is resolved by the next read of the row.
  mStoreFailed = !IsOk(written);
  mState.mAuthority.OnCycleFailed(mNow());
}

void
AllowanceSync::ReadListing()
{
  const TimePoint now = mNow();
  const bool due = !mListedAt || now - *mListedAt >= kReadingInterval;
  if (!mNeedsListing || !due) {
    return;
  }
  mListedAt = now;
  const Result<v1::ListInstancesReply> reply = mServices.mListing.List(kListTimeout);
  if (!IsOk(reply)) {
    return;
  }
  std::set<InstanceId> instances;
  for (const v1::ListedInstance& instance : ValueOf(reply).instances()) {
    instances.insert(InstanceId(instance.instance()));
  }
  mListed.OnReading(instances, mNow());
  mNeedsListing = false;
}

void
AllowanceSync::SyncGroup(const GroupId& aGroup)
{
  const int rank = mServices.mHomes.OwnRank(aGroup);
  const std::optional<AllocationRecord> record = RecordOf(aGroup);
  if (!record) {
    return;
  }
  if (rank == 0 && mServices.mInstances.MayActAsKeeper()) {
    const std::optional<std::uint64_t> epoch = ValidEpoch();
    if (epoch) {
      Keep(aGroup, *record, *epoch);
    }
  } else if (rank != 0 && record->mKeeper == mState.mSelf) {
    GiveUpClaim(*record);
  }
  Release(aGroup);
}

void
AllowanceSync::Keep(const GroupId& aGroup,
                    const AllocationRecord& aRecord,
                    std::uint64_t aEpoch)
{
  const AuthorityWatcher& watcher = WatchKeeper(aRecord);
  bool granting = false;
  {
    const std::lock_guard lock(mState.mMutex);
    granting = mState.ShareOf(aGroup).mLedger.HasClaim();
  }
  switch (DecideClaim(aRecord, mState.mSelf, aEpoch, watcher, mNow())) {
    case ClaimAction::Held:
      if (granting) {
        Plan(aGroup, aRecord);
        return;
      }
      [[fallthrough]];
    case ClaimAction::Claim:
      // Without a record there are no floors and no leases yet, so the first record may
      // hold floors at once.
      Write(aGroup,
            { RecordClaimedBy(
                aRecord.mVersion == 0 ? PlanFloors(aRecord, PlanInput(aGroup)) : aRecord,
                mState.mSelf,
                aEpoch),
              {},
              std::nullopt });
      return;
    case ClaimAction::ClaimAndRevoke:
      Log(LogLevel::Info,
          "allowance",
          "authority_revoked",
          { { "group", aGroup.Text() }, { "keeper", aRecord.mKeeper.Text() } });
      Write(aGroup,
            { RecordClaimedBy(aRecord, mState.mSelf, aEpoch),
              aRecord.mKeeper,
              RevokedRow(*watcher.Row()) });
      return;
    case ClaimAction::Wait:
      return;
  }
}

void
AllowanceSync::Plan(const GroupId& aGroup, const AllocationRecord& aRecord)
{
  const FloorPlanInput input = PlanInput(aGroup);
  mNeedsListing = mNeedsListing || !MatchesHomes(aRecord, input.mHomes);
  const AllocationRecord next = PlanFloors(aRecord, input);
  if (next == aRecord) {
    return;
  }
  {
    const std::lock_guard lock(mState.mMutex);
    AllowanceLedger& ledger = mState.ShareOf(aGroup).mLedger;
    if (!ledger.PrepareFloors(next, mNow())) {
      return;
    }
  }
  Write(aGroup, { next, {}, std::nullopt });
}

void
AllowanceSync::Release(const GroupId& aGroup)
{
  const std::uint32_t held = mServices.mPools.Held(aGroup);
  std::optional<AllocationRecord> next;
  {
    const std::lock_guard lock(mState.mMutex);
    next = mState.ShareOf(aGroup).mHolder.Release(held, mNow());
  }
  if (next) {
    Write(aGroup, { next, {}, std::nullopt });
  }
}

void
AllowanceSync::GiveUpClaim(const AllocationRecord& aRecord)
{
  {
    const std::lock_guard lock(mState.mMutex);
    mState.ShareOf(aRecord.mGroup).mLedger.StopGranting();
  }
  Write(aRecord.mGroup, { RecordWithoutClaim(aRecord), {}, std::nullopt });
}

std::optional<AllocationRecord>
AllowanceSync::RecordOf(const GroupId& aGroup)
{
  const std::optional<GroupSettings> settings = mServices.mGroups.Settings(aGroup);
  const int rank = mServices.mHomes.OwnRank(aGroup);
  bool due = false;
  {
    const std::lock_guard lock(mState.mMutex);
    const auto found = mState.mShares.find(aGroup);
    if (rank < 0 && found == mState.mShares.end()) {
      return std::nullopt;
    }
    GroupShare& share = mState.ShareOf(aGroup);
    if (settings) {
      share.mLedger.SetLimit(settings->mConnectionLimit, settings->mRevision);
    }
    const bool claimed = share.mRecord && share.mRecord->mKeeper == mState.mSelf;
    const bool former = rank < 0 && !claimed && share.mHolder.ReservedFloor() == 0;
    const bool quiet =
      share.mRecord && claimed == (rank == 0) && !HasPendingFloorChange(*share.mRecord);
    Duration pause = quiet ? kQuietRead : kAwaitingRead;
    if (former) {
      pause = kFormerRead;
    }
    due = !share.mReadAt || mNow() - *share.mReadAt >= pause;
  }
  if (due) {
    ReadRecord(aGroup);
  }
  const std::lock_guard lock(mState.mMutex);
  return mState.ShareOf(aGroup).mRecord;
}

void
AllowanceSync::ReadRecord(const GroupId& aGroup)
{
  const Result<AllocationRecord> record = mStore.ReadRecord(aGroup);
  if (!IsOk(record)) {
    OnReadFailed(aGroup, ErrorOf(record));
    return;
  }
  {
    const std::lock_guard lock(mState.mMutex);
    GroupShare& share = mState.ShareOf(aGroup);
    share.OnRecord(ValueOf(record), mNow());
    share.mReadAt = mNow();
  }
  mChanged(aGroup);
}

void
AllowanceSync::OnReadFailed(const GroupId& aGroup, const Error& aError)
{
  if (aError.mKind != ErrorKind::Internal) {
    mStoreFailed = true;
    return;
  }
  // One malformed record must not stop the groups after it.
  Log(LogLevel::Error, "allowance", "bad_record", { { "error", aError.mMessage } });
  const std::lock_guard lock(mState.mMutex);
  mState.ShareOf(aGroup).mReadAt = mNow();
}

void
AllowanceSync::Write(const GroupId& aGroup, const AllowanceWrite& aWrite)
{
  const Result<WriteOutcome> outcome = mStore.Write(aWrite);
  {
    // Committed or not, and also when the answer was lost: the row says what holds.
    const std::lock_guard lock(mState.mMutex);
    mState.ShareOf(aGroup).mReadAt.reset();
  }
  if (!IsOk(outcome)) {
    mStoreFailed = true;
    return;
  }
  ReadRecord(aGroup);
}

const AuthorityWatcher&
AllowanceSync::WatchKeeper(const AllocationRecord& aRecord)
{
  AuthorityWatcher& watcher = mWatchers[aRecord.mKeeper];
  const bool own = aRecord.mKeeper.IsEmpty() || aRecord.mKeeper == mState.mSelf;
  if (own || !mWatched.insert(aRecord.mKeeper).second) {
    return watcher;
  }
  const Result<AuthorityRow> row = mStore.ReadAuthority(aRecord.mKeeper);
  if (!IsOk(row)) {
    mStoreFailed = true;
    return watcher;
  }
  watcher.OnRow(ValueOf(row), mNow());
  return watcher;
}

FloorPlanInput
AllowanceSync::PlanInput(const GroupId& aGroup) const
{
  FloorPlanInput input;
  input.mHomes = mServices.mHomes.HomesOf(aGroup);
  input.mMayReceiveFloor = [this, aGroup](const InstanceId& aInstance) {
    const std::lock_guard lock(mState.mMutex);
    return mListed.IsListed(aInstance) &&
           mState.ShareOf(aGroup).mLedger.HasRecentRequest(aInstance, mNow());
  };
  input.mHasEnded = [this](const InstanceId& aInstance) {
    // The list lags; an instance that still answers probes has not ended.
    const std::optional<InstanceInfo> known = mServices.mInstances.Find(aInstance);
    const bool answers = known && known->mLiveness == Liveness::Alive;
    return !answers && mListed.HasEnded(aInstance);
  };
  const std::optional<GroupSettings> settings = mServices.mGroups.Settings(aGroup);
  if (settings) {
    input.mLimit = settings->mConnectionLimit;
    input.mLimitRevision = settings->mRevision;
  }
  return input;
}

std::optional<std::uint64_t>
AllowanceSync::ValidEpoch()
{
  const std::lock_guard lock(mState.mMutex);
  return mState.mAuthority.ValidEpoch(mNow());
}

} // namespace papayaspindle
