#pragma once

#include "decision/allowance/allocationrecord.h"

#include <cstdint>
#include <functional>
#include <vector>

namespace papayaspindle {

/** What the next allocation record is computed from. */
struct FloorPlanInput
{
  /** The group's homes in rank order. */
  std::vector<InstanceId> mHomes;
  /** Whether a home without a floor may get one. The platform's list must name it,
   * because its absence would soon count as its end; and it must have asked for a lease,
   * because an instance that does not know that it is a home releases nothing. */
  std::function<bool(const InstanceId&)> mMayReceive;
  /** Whether the platform's list says that the instance has ended. */
  std::function<bool(const InstanceId&)> mHasEnded;
  std::uint32_t mLimit = 0;
  std::uint64_t mLimitRevision = 0;
};

/**
 * @param aRecord an allocation record
 * @return the sum of its floors
 */
std::uint32_t SumOfFloors(const AllocationRecord& aRecord);

/**
 * @param aLimit the group's connection limit
 * @return the most that all floors may come to
 */
std::uint32_t FloorShare(std::uint32_t aLimit);

/** @return whether a floor differs from its target, so that a release or a raise is due
 */
bool AwaitsRelease(const AllocationRecord& aRecord);

/** @return whether the record has an entry for each of the homes, and for nobody else */
bool FitsHomes(const AllocationRecord& aRecord, const std::vector<InstanceId>& aHomes);

/**
 * Computes the record that the keeper writes next.
 *
 * Ended homes lose their floors. A floor rises only from what is free of the floors'
 * share of the limit; it never falls here, because only its home can release it.
 *
 * @param aRecord the record as it was read
 * @param aInput homes, instance list and limit
 * @return the next record; equal to aRecord when there is nothing to change
 */
AllocationRecord PlanFloors(const AllocationRecord& aRecord,
                            const FloorPlanInput& aInput);

/**
 * Computes the record in which a home has released what is above its target.
 *
 * @param aRecord the record as it was read
 * @param aHome the home that writes it
 * @return the next record; equal to aRecord when there is nothing to release
 */
AllocationRecord ReleaseFloor(const AllocationRecord& aRecord, const InstanceId& aHome);

} // namespace papayaspindle
