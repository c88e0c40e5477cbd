#pragma once

#include "core/timetypes.h"
#include "decision/allowance/allocationrecord.h"
#include "decision/allowance/authoritywatcher.h"

#include <cstdint>

namespace papayaspindle {

/** Next step of an instance that is to become or stay the keeper of a group. */
enum class ClaimAction : std::uint8_t
{
  /** The instance already has a valid claim; nothing to do. */
  Held,
  /** Write the claimed record by compare-and-set. */
  Claim,
  /** Write the claimed record and the revoked authority row in one transaction. */
  ClaimAndRevoke,
  /** The authority of another instance may still be valid: read its row again. */
  Wait,
};

/**
 * Decides whether an instance may claim the pool of a group.
 *
 * @param aRecord the group's record that was read
 * @param aSelf the instance
 * @param aEpoch epoch of the valid authority of aSelf
 * @param aKeeper observer of the authority row of aRecord.mKeeper
 * @return the next step
 */
ClaimAction DecideClaim(const AllocationRecord& aRecord,
                        const InstanceId& aSelf,
                        std::uint64_t aEpoch,
                        const AuthorityWatcher& aKeeper,
                        TimePoint aNow);

/** @return the record in which aSelf claims the pool under the authority of aEpoch */
AllocationRecord RecordClaimedBy(const AllocationRecord& aRecord,
                                 const InstanceId& aSelf,
                                 std::uint64_t aEpoch);

/** @return the record without a claim on the pool. The keeper must stop granting leases
 * before it writes this record. */
AllocationRecord RecordWithoutClaim(const AllocationRecord& aRecord);

} // namespace papayaspindle
