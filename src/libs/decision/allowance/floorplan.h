#pragma once

#include "decision/allowance/allocationrecord.h"

#include <cstdint>
#include <functional>
#include <vector>

namespace papayaspindle {

/** Input from which the next allocation record is computed. */
struct FloorPlanInput
{
  /** The group's homes in rank order. */
  std::vector<InstanceId> mHomes;
  /** Whether a home without a floor may get one. The platform's instance list must
   * contain the home, because a home that stays missing from the list counts as ended.
   * The home must also have requested a lease, because an instance that does not know
   * that it is a home never releases its floor. */
  std::function<bool(const InstanceId&)> mMayReceiveFloor;
  /** Whether the instance has ended according to the platform's instance list. */
  std::function<bool(const InstanceId&)> mHasEnded;
  std::uint32_t mLimit = 0;
  std::uint64_t mLimitRevision = 0;
};

/** @return the sum of the record's floors */
std::uint32_t SumOfFloors(const AllocationRecord& aRecord);

/**
 * @param aLimit the group's connection limit
 * @return the highest permitted sum of all floors
 */
std::uint32_t FloorShare(std::uint32_t aLimit);

/** @return whether any floor differs from its target, so that it must be raised by the
 * keeper or released by its home */
bool HasPendingFloorChange(const AllocationRecord& aRecord);

/** @return whether the record has exactly one entry for each home and no other entries */
bool MatchesHomes(const AllocationRecord& aRecord, const std::vector<InstanceId>& aHomes);

/**
 * Computes the record that the keeper writes next.
 *
 * Homes that have ended lose their floors. Floors are raised only from the free part of
 * FloorShare(). They are never lowered here, because only the home itself can release its
 * floor.
 *
 * @param aRecord the record that was read
 * @param aInput homes, instance list and limit
 * @return the next record; equal to aRecord when nothing changes
 */
AllocationRecord PlanFloors(const AllocationRecord& aRecord,
                            const FloorPlanInput& aInput);

/**
 * Computes the record in which a home has lowered its floor to its target.
 *
 * @param aRecord the record that was read
 * @param aHome the home that writes the record
 * @return the next record; equal to aRecord when there is nothing to release
 */
AllocationRecord ReleaseFloor(const AllocationRecord& aRecord, const InstanceId& aHome);

} // namespace papayaspindle
