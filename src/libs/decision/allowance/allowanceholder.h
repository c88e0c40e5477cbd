#pragma once

#include "core/timetypes.h"
#include "decision/allowance/allocationrecord.h"

#include <cstdint>
#include <map>
#include <optional>

namespace papayaspindle {

/**
 * A home's allowance of a group's connections: its floor plus its lease from the pool.
 *
 * The floor counts as 0 until the home has read the allocation record once, because the
 * floors and leases of other homes may already add up to the limit. Leases can be used
 * before that, since only the keeper needs the record to grant them.
 */
class AllowanceHolder
{
public:
  /** @param aSelf the home that uses the connections */
  explicit AllowanceHolder(InstanceId aSelf);

  /** Stores the record if its version is higher than that of the stored record. */
  void OnRecord(const AllocationRecord& aRecord);

  /**
   * Records the time before a lease request is sent. The duration of the lease is counted
   * from this time.
   *
   * @return number of the request, to be passed to OnGrant()
   */
  std::uint64_t BeginRequest(TimePoint aNow);

  /**
   * Replaces the current lease with a granted one, unless a later request has already
   * been answered.
   *
   * @param aRequest number returned by BeginRequest()
   * @param aGranted number of connections
   * @param aDuration duration of the lease; at most kLeaseDuration is used
   * @param aClaim claim under which the lease was granted. The lease is ignored when a
   * higher claim is known, because its keeper has been replaced.
   */
  void OnGrant(std::uint64_t aRequest,
               std::uint32_t aGranted,
               Duration aDuration,
               std::uint64_t aClaim);

  /** @return connections usable even when keeper and table service are unavailable */
  [[nodiscard]] std::uint32_t Floor() const;
  /** @return the floor in the record, including connections still to be released */
  [[nodiscard]] std::uint32_t ReservedFloor() const;
  /** @return connections of the lease that is valid until LeaseEnd() */
  [[nodiscard]] std::uint32_t Lease() const;
  [[nodiscard]] TimePoint LeaseEnd() const;
  /** @return number of connections that may be open at aNow */
  [[nodiscard]] std::uint32_t Allowance(TimePoint aNow) const;
  /**
   * @param aOpen number of open connections
   * @return how many of them must be closed before any of them is used
   */
  [[nodiscard]] std::uint32_t ConnectionsToClose(std::uint32_t aOpen,
                                                 TimePoint aNow) const;
  /**
   * @param aOpen number of open connections
   * @return the record to write by compare-and-set to release the connections above the
   * target; nothing when there are none, or while more connections are open than the
   * allowance permits
   */
  [[nodiscard]] std::optional<AllocationRecord> Release(std::uint32_t aOpen,
                                                        TimePoint aNow) const;
  /** @return the highest claim seen, to be sent with lease requests */
  [[nodiscard]] std::uint64_t Claim() const;
  /** @return the version of the stored record; 0 before the first read */
  [[nodiscard]] std::uint64_t RecordVersion() const;

private:
  [[nodiscard]] HomeFloor OwnFloor() const;

  InstanceId mSelf;
  AllocationRecord mRecord;
  std::uint64_t mClaim = 0;
  std::uint64_t mNextRequest = 1;
  std::map<std::uint64_t, TimePoint> mRequestTimes;
  std::uint32_t mLease = 0;
  TimePoint mLeaseEnd;
};

} // namespace papayaspindle
