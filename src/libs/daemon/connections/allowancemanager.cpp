#include "daemon/connections/allowancemanager.h"

#include "convert/convert.h"
#include "daemon/connections/allowancemessages.h"
#include "daemon/connections/allowancesync.h"
#include "daemon/connections/owngroups.h"
#include "daemon/connections/poolshares.h"
#include "daemon/connections/sharestate.h"
#include "decision/allowance/allowancetimes.h"
#include "interfaces/groups.h"
#include "interfaces/homes.h"
#include "interfaces/instances.h"
#include "interfaces/peercalls.h"
#include "interfaces/peerhandlers.h"
#include "observe/metricregistry.h"
#include "peer.pb.h"

#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace papayaspindle {

namespace {

constexpr const char* kLeaseMethod = "LeaseConnections";
/** Shorter than the interval of renewals, so that one lost request leaves time for two
 * more before the lease ends. */
constexpr std::chrono::milliseconds kLeaseTimeout{ 500 };

std::uint32_t
Beyond(std::uint32_t aCount, std::uint32_t aFloor)
{
  return aCount > aFloor ? aCount - aFloor : 0;
}

const char*
TextOf(LeaseRefusal aRefusal)
{
  switch (aRefusal) {
    case LeaseRefusal::NotKeeper:
      return "not the group's keeper";
    case LeaseRefusal::NoAuthority:
      return "no valid authority";
    case LeaseRefusal::Quarantine:
      return "earlier leases may still hold";
    case LeaseRefusal::None:
      break;
  }
  return "";
}

} // namespace

struct AllowanceManager::Private
{
  Private(const AllowanceServices& aServices,
          std::string aProcess,
          SubmitHook aSubmit,
          NowHook aNow)
    : mServices(aServices)
    , mSubmit(std::move(aSubmit))
    , mNow(std::move(aNow))
    , mState(aServices.mInstances.Self().mInstance, std::move(aProcess))
    , mOwnGroups(aServices.mGroups, aServices.mHomes)
    , mSync(aServices, mState, mOwnGroups, mNow, [this](const GroupId& aGroup) {
      Push(aGroup);
    })
  {
  }

  [[nodiscard]] bool WantsLease(const GroupId& aGroup);
  void Renew(const GroupId& aGroup);
  std::optional<v1::LeaseConnectionsReply> Ask(
    const InstanceId& aKeeper,
    const v1::LeaseConnectionsRequest& aRequest);
  v1::LeaseConnectionsReply Answer(const v1::LeaseConnectionsRequest& aRequest);
  void Push(const GroupId& aGroup);

  AllowanceServices mServices;
  SubmitHook mSubmit;
  NowHook mNow;
  ShareState mState;
  OwnGroups mOwnGroups;
  AllowanceSync mSync;
  /** Keeps an older share from replacing a newer one at the pools. */
  std::mutex mPushMutex;
  std::mutex mRenewingMutex;
  std::set<GroupId> mRenewing;
};

/** A former home asks too while it has a floor: the answer tells it what to release. */
bool
AllowanceManager::Private::WantsLease(const GroupId& aGroup)
{
  if (mServices.mHomes.OwnRank(aGroup) >= 0) {
    return true;
  }
  const std::lock_guard lock(mState.mMutex);
  const auto found = mState.mShares.find(aGroup);
  return found != mState.mShares.end() && found->second.mHolder.ReservedFloor() > 0;
}

void
AllowanceManager::Private::Renew(const GroupId& aGroup)
{
  const std::vector<InstanceId> homes = mServices.mHomes.HomesOf(aGroup);
  if (homes.empty()) {
    return;
  }
  const ShareUse use = mServices.mPools.TakeUse(aGroup);
  const bool home = mServices.mHomes.OwnRank(aGroup) >= 0;
  v1::LeaseConnectionsRequest request;
  request.set_holder(mState.mSelf.Text());
  request.set_group(aGroup.Text());
  std::uint64_t number = 0;
  {
    const std::lock_guard lock(mState.mMutex);
    AllowanceHolder& holder = mState.ShareOf(aGroup).mHolder;
    request.set_demand(home ? Beyond(use.mDemand, holder.Floor()) : 0);
    request.set_in_use(Beyond(use.mHeld, holder.Floor()));
    request.set_authority_epoch(holder.Claim());
    request.set_record_version(holder.RecordVersion());
    number = holder.BeginRequest(mNow());
  }
  const std::optional<v1::LeaseConnectionsReply> reply = Ask(homes.front(), request);
  if (!reply) {
    return;
  }
  {
    const std::lock_guard lock(mState.mMutex);
    GroupShare& share = mState.ShareOf(aGroup);
    if (reply->has_record()) {
      share.OnRecord(FromMessage(reply->record(), aGroup, reply->record_version()),
                     mNow());
    }
    if (!reply->has_error()) {
      if (homes.front() != mState.mSelf) {
        // The keeper's copy is as good as an own reading, so only the keeper reads often.
        share.mReadAt = mNow();
      }
      share.mHolder.OnGrant(number,
                            reply->granted(),
                            std::chrono::milliseconds(reply->lease_ms()),
                            reply->authority_epoch());
    }
  }
  Push(aGroup);
}

std::optional<v1::LeaseConnectionsReply>
AllowanceManager::Private::Ask(const InstanceId& aKeeper,
                               const v1::LeaseConnectionsRequest& aRequest)
{
  if (aKeeper == mState.mSelf) {
    return Answer(aRequest);
  }
  const std::optional<InstanceInfo> keeper = mServices.mInstances.Find(aKeeper);
  if (!keeper) {
    return std::nullopt;
  }
  PeerCall call;
  call.mAddress = keeper->mPeerAddress;
  call.mMethod = kLeaseMethod;
  call.mBody = aRequest.SerializeAsString();
  call.mTimeout = kLeaseTimeout;
  const Result<std::string> body = mServices.mPeers.Call(call);
  v1::LeaseConnectionsReply reply;
  if (!IsOk(body) || !reply.ParseFromString(ValueOf(body))) {
    mServices.mMetrics.Add("allowance.lease_unanswered");
    return std::nullopt;
  }
  return reply;
}

v1::LeaseConnectionsReply
AllowanceManager::Private::Answer(const v1::LeaseConnectionsRequest& aRequest)
{
  const GroupId group(aRequest.group());
  const bool mayKeep = mServices.mInstances.MayActAsKeeper();
  v1::LeaseConnectionsReply reply;
  const std::lock_guard lock(mState.mMutex);
  const auto found = mState.mShares.find(group);
  if (found == mState.mShares.end()) {
    *reply.mutable_error() =
      ToMessage(Error{ ErrorKind::ConnectionLimit, TextOf(LeaseRefusal::NotKeeper) });
    return reply;
  }
  GroupShare& share = found->second;
  const TimePoint now = mNow();
  const std::optional<std::uint64_t> epoch =
    mayKeep ? mState.mAuthority.ValidEpoch(now) : std::nullopt;
  const LeaseRequest request{ InstanceId(aRequest.holder()),
                              aRequest.demand(),
                              aRequest.authority_epoch(),
                              aRequest.in_use() };
  const LeaseGrant grant = share.mLedger.Grant(request, epoch, now);
  if (grant.mRefusal == LeaseRefusal::None) {
    reply.set_granted(grant.mGranted);
    reply.set_lease_ms(static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(grant.mDuration).count()));
    mServices.mMetrics.Add("allowance.lease_granted");
  } else {
    *reply.mutable_error() =
      ToMessage(Error{ ErrorKind::ConnectionLimit, TextOf(grant.mRefusal) });
    mServices.mMetrics.Add("allowance.lease_refused");
  }
  reply.set_authority_epoch(grant.mClaim);
  if (share.mRecord && share.mRecord->mVersion > aRequest.record_version()) {
    *reply.mutable_record() = ToMessage(*share.mRecord);
    reply.set_record_version(share.mRecord->mVersion);
  }
  return reply;
}

void
AllowanceManager::Private::Push(const GroupId& aGroup)
{
  const std::lock_guard pushLock(mPushMutex);
  GroupAllowance allowance;
  {
    const std::lock_guard lock(mState.mMutex);
    const AllowanceHolder& holder = mState.ShareOf(aGroup).mHolder;
    allowance = { holder.Floor(), holder.Lease(), holder.LeaseEnd() };
  }
  mServices.mPools.SetAllowance(aGroup, allowance);
  mServices.mMetrics.Set("allowance.usable." + aGroup.Text(), allowance.At(mNow()));
}

AllowanceManager::AllowanceManager(const AllowanceServices& aServices,
                                   std::string aProcess,
                                   SubmitHook aSubmit,
                                   NowHook aNow)
  : mPrivate(std::make_unique<Private>(aServices,
                                       std::move(aProcess),
                                       std::move(aSubmit),
                                       std::move(aNow)))
{
}

AllowanceManager::~AllowanceManager() = default;

void
AllowanceManager::Register(PeerHandlers& aHandlers)
{
  aHandlers.Register(kLeaseMethod,
                     [this](const PeerRequest& aRequest) -> Result<std::string> {
                       v1::LeaseConnectionsRequest request;
                       if (!request.ParseFromString(aRequest.mBody)) {
                         return Error{ ErrorKind::MalformedRequest, kLeaseMethod };
                       }
                       return mPrivate->Answer(request).SerializeAsString();
                     });
}

void
AllowanceManager::RenewLeases()
{
  mPrivate->mOwnGroups.Scan();
  for (const GroupId& group : mPrivate->mState.Known(mPrivate->mOwnGroups.List())) {
    if (!mPrivate->WantsLease(group)) {
      continue;
    }
    {
      const std::lock_guard lock(mPrivate->mRenewingMutex);
      if (!mPrivate->mRenewing.insert(group).second) {
        continue;
      }
    }
    const auto finish = [this, group] {
      const std::lock_guard lock(mPrivate->mRenewingMutex);
      mPrivate->mRenewing.erase(group);
    };
    const bool taken = mPrivate->mSubmit([this, group, finish] {
      mPrivate->Renew(group);
      finish();
    });
    if (!taken) {
      finish();
    }
  }
}

void
AllowanceManager::SyncStore()
{
  mPrivate->mSync.Round();
}

void
AllowanceManager::GiveUp()
{
  mPrivate->mSync.GiveUp();
}

} // namespace papayaspindle
