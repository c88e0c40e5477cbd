#include "decision/allowance/floorplan.h"

#include <algorithm>

namespace papayaspindle {

namespace {

HomeFloor*
FindFloor(AllocationRecord& aRecord, const InstanceId& aHome)
{
  const auto found =
    std::find_if(aRecord.mFloors.begin(),
                 aRecord.mFloors.end(),
                 [&aHome](const HomeFloor& aFloor) { return aFloor.mHome == aHome; });
  return found == aRecord.mFloors.end() ? nullptr : &*found;
}

void
SetTargets(AllocationRecord& aRecord, const std::vector<InstanceId>& aHomes)
{
  for (HomeFloor& floor : aRecord.mFloors) {
    floor.mTarget = 0;
  }
  const auto count = static_cast<std::uint32_t>(aHomes.size());
  const std::uint32_t share = FloorShare(aRecord.mLimit);
  for (std::uint32_t rank = 0; rank < count; ++rank) {
    const std::uint32_t target = share / count + (rank < share % count ? 1 : 0);
    HomeFloor* known = FindFloor(aRecord, aHomes[rank]);
    if (known == nullptr) {
      aRecord.mFloors.push_back({ aHomes[rank], 0, target });
      continue;
    }
    known->mTarget = target;
  }
}

/** Distributes the free connections one at a time, each to the home with the lowest
 * floor. The floors of all homes thus rise together instead of one after the other. */
void
RaiseFloors(AllocationRecord& aRecord)
{
  const std::uint32_t share = FloorShare(aRecord.mLimit);
  for (std::uint32_t sum = SumOfFloors(aRecord); sum < share; ++sum) {
    HomeFloor* lowest = nullptr;
    for (HomeFloor& floor : aRecord.mFloors) {
      const bool isBelowTarget = floor.mFloor < floor.mTarget;
      if (isBelowTarget && (lowest == nullptr || floor.mFloor < lowest->mFloor)) {
        lowest = &floor;
      }
    }
    if (lowest == nullptr) {
      return;
    }
    ++lowest->mFloor;
  }
}

} // namespace

std::uint32_t
SumOfFloors(const AllocationRecord& aRecord)
{
  std::uint32_t sum = 0;
  for (const HomeFloor& floor : aRecord.mFloors) {
    sum += floor.mFloor;
  }
  return sum;
}

std::uint32_t
FloorShare(std::uint32_t aLimit)
{
  return aLimit / 2;
}

bool
HasPendingFloorChange(const AllocationRecord& aRecord)
{
  return std::any_of(
    aRecord.mFloors.begin(), aRecord.mFloors.end(), [](const HomeFloor& aFloor) {
      return aFloor.mFloor != aFloor.mTarget;
    });
}

bool
MatchesHomes(const AllocationRecord& aRecord, const std::vector<InstanceId>& aHomes)
{
  const auto isHome = [&aHomes](const HomeFloor& aFloor) {
    return std::find(aHomes.begin(), aHomes.end(), aFloor.mHome) != aHomes.end();
  };
  return aRecord.mFloors.size() == aHomes.size() &&
         std::all_of(aRecord.mFloors.begin(), aRecord.mFloors.end(), isHome);
}

AllocationRecord
PlanFloors(const AllocationRecord& aRecord, const FloorPlanInput& aInput)
{
  AllocationRecord next = aRecord;
  if (aInput.mLimitRevision > next.mLimitRevision) {
    next.mLimit = aInput.mLimit;
    next.mLimitRevision = aInput.mLimitRevision;
  }
  std::erase_if(next.mFloors, [&aInput](const HomeFloor& aFloor) {
    return aInput.mHasEnded(aFloor.mHome);
  });
  std::vector<InstanceId> homes = aInput.mHomes;
  // A home that already has a floor keeps it when it is missing from the latest instance
  // list or has sent no lease request recently.
  std::erase_if(homes, [&aInput, &next](const InstanceId& aHome) {
    return !aInput.mMayReceiveFloor(aHome) && FindFloor(next, aHome) == nullptr;
  });
  if (homes.empty()) {
    return aRecord;
  }
  SetTargets(next, homes);
  RaiseFloors(next);
  std::erase_if(next.mFloors, [](const HomeFloor& aFloor) {
    return aFloor.mFloor == 0 && aFloor.mTarget == 0;
  });
  return next;
}

AllocationRecord
ReleaseFloor(const AllocationRecord& aRecord, const InstanceId& aHome)
{
  AllocationRecord next = aRecord;
  HomeFloor* floor = FindFloor(next, aHome);
  if (floor != nullptr) {
    floor->mFloor = std::min(floor->mFloor, floor->mTarget);
  }
  return next;
}

} // namespace papayaspindle
