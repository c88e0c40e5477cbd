#pragma once

#include "core/ids.h"

#include <cstdint>
#include <vector>

namespace papayaspindle {

/** The floor of one home: connections that the home may use without asking the keeper. */
struct HomeFloor
{
  InstanceId mHome;
  /** Connections reserved for the home until the home releases them or has ended. */
  std::uint32_t mFloor = 0;
  /** Floor that the keeper plans. The home uses the smaller of mFloor and mTarget. */
  std::uint32_t mTarget = 0;

  bool operator==(const HomeFloor&) const = default;
};

/**
 * Division of a database group's connection limit among its homes; one row in the table
 * service.
 *
 * The part of the limit that is not reserved by floors is the pool. One instance, the
 * keeper, claims the pool and leases its connections to the homes.
 */
struct AllocationRecord
{
  GroupId mGroup;
  /** Connection limit of the group. */
  std::uint32_t mLimit = 0;
  /** Configuration revision that set the limit. */
  std::uint64_t mLimitRevision = 0;
  /** Instance that may lease the pool; empty when no instance claims it. */
  InstanceId mKeeper;
  /** Epoch of the keeper's authority at the time of the claim. The claim ends with it. */
  std::uint64_t mKeeperEpoch = 0;
  /** Number of the latest claim; each claim raises it by one. */
  std::uint64_t mClaim = 0;
  std::vector<HomeFloor> mFloors;
  /** Version of the row that stores the record; 0 when the row does not exist. */
  std::uint64_t mVersion = 0;

  bool operator==(const AllocationRecord&) const = default;
};

} // namespace papayaspindle
