#include "decision/allowance/keeperclaim.h"

namespace papayaspindle {

ClaimAction
DecideClaim(const AllocationRecord& aRecord,
            const InstanceId& aSelf,
            std::uint64_t aEpoch,
            const AuthorityWatcher& aKeeper,
            TimePoint aNow)
{
  if (aRecord.mKeeper.IsEmpty()) {
    return ClaimAction::Claim;
  }
  if (aRecord.mKeeper == aSelf) {
    // A claim that this instance made in an earlier epoch ended with that epoch.
    return aRecord.mKeeperEpoch == aEpoch ? ClaimAction::Held : ClaimAction::Claim;
  }
  if (aKeeper.HasEpochEnded(aRecord.mKeeperEpoch)) {
    return ClaimAction::Claim;
  }
  return aKeeper.MayTakeOver(aNow) ? ClaimAction::ClaimAndRevoke : ClaimAction::Wait;
}

AllocationRecord
RecordClaimedBy(const AllocationRecord& aRecord,
                const InstanceId& aSelf,
                std::uint64_t aEpoch)
{
  AllocationRecord next = aRecord;
  next.mKeeper = aSelf;
  next.mKeeperEpoch = aEpoch;
  ++next.mClaim;
  return next;
}

AllocationRecord
RecordWithoutClaim(const AllocationRecord& aRecord)
{
  AllocationRecord next = aRecord;
  next.mKeeper = InstanceId();
  next.mKeeperEpoch = 0;
  return next;
}

} // namespace papayaspindle
