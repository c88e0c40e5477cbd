#pragma once

#include "core/ids.h"

#include <cstdint>
#include <vector>

namespace papayaspindle {

/** One home's part of the allocation record. */
struct HomeFloor
{
  InstanceId mHome;
  /** Connections reserved for the home until it releases them or has ended. */
  std::uint32_t mFloor = 0;
  /** What the keeper plans for the home. A home uses the smaller of both numbers. */
  std::uint32_t mTarget = 0;

  bool operator==(const HomeFloor&) const = default;
};

/** The allocation record of a database group: a row in the table service. */
struct AllocationRecord
{
  GroupId mGroup;
  std::uint32_t mLimit = 0;
  /** Configuration revision of the limit. */
  std::uint64_t mLimitRevision = 0;
  /** The instance that may lease the pool; empty when nobody claims it. */
  InstanceId mKeeper;
  /** Epoch of the keeper's authority row at its claim; the claim ends with the epoch. */
  std::uint64_t mKeeperEpoch = 0;
  /** Rises by one with each claim. */
  std::uint64_t mClaim = 0;
  std::vector<HomeFloor> mFloors;
  /** Version of the row that holds the record; 0 when there is none. */
  std::uint64_t mVersion = 0;

  bool operator==(const AllocationRecord&) const = default;
};

} // namespace papayaspindle
