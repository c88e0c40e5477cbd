#pragma once

#include "core/timetypes.h"
#include "decision/allowance/allocationrecord.h"
#include "decision/allowance/authoritywatcher.h"

#include <cstdint>

namespace papayaspindle {

/** What an instance that should be a group's keeper does about the claim. */
enum class ClaimAction : std::uint8_t
{
  /** The claim is its own already. */
  Held,
  /** Write the claimed record by compare-and-set. */
  Claim,
  /** Write the claimed record and the revoked authority row in one transaction. */
  ClaimAndRevoke,
  /** Another authority may still hold: read its row and decide again. */
  Wait,
};

/**
 * @param aRecord the group's record as it was read
 * @param aSelf the deciding instance
 * @param aEpoch epoch of its own valid authority
 * @param aKeeper what is known of the authority row of the record's keeper
 * @return the next action
 */
ClaimAction DecideClaim(const AllocationRecord& aRecord,
                        const InstanceId& aSelf,
                        std::uint64_t aEpoch,
                        const AuthorityWatcher& aKeeper,
                        TimePoint aNow);

/** @return the record with the pool claimed by an instance under its authority's epoch */
AllocationRecord ClaimedBy(const AllocationRecord& aRecord,
                           const InstanceId& aSelf,
                           std::uint64_t aEpoch);

/** @return the record with no claim on the pool; its keeper grants nothing from before it
 * writes this */
AllocationRecord Unclaimed(const AllocationRecord& aRecord);

} // namespace papayaspindle
