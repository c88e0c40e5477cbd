#pragma once

#include "core/timetypes.h"
#include "decision/allowance/allocationrecord.h"

#include <cstdint>
#include <map>
#include <optional>

namespace papayaspindle {

/**
 * A home's share of a group's connections: its floor and its pool lease.
 *
 * Nothing is usable before the record was read once. Floors and leases of the others may
 * add up to the limit, so an instance that has never read the record has no number that
 * is safe to assume; until then it lives on leases, which need no record here.
 */
class AllowanceHolder
{
public:
  /** @param aSelf the home */
  explicit AllowanceHolder(InstanceId aSelf);

  /** Takes a record of a higher version than the one known. */
  void OnRecord(const AllocationRecord& aRecord);

  /**
   * Notes the moment before a lease request is sent; the lease is counted from it.
   *
   * @return number of the request, for OnGrant
   */
  std::uint64_t BeginRequest(TimePoint aNow);

  /**
   * Takes the answer to a lease request unless a later request was answered already.
   *
   * @param aRequest number from BeginRequest
   * @param aClaim claim under which it was granted; a claim below the highest known is
   * that of a keeper that was replaced
   */
  void OnGrant(std::uint64_t aRequest,
               std::uint32_t aGranted,
               Duration aDuration,
               std::uint64_t aClaim);

  /** @return connections usable whatever happens to the keeper and the table service */
  [[nodiscard]] std::uint32_t Floor() const;
  /** @return the floor in the record, also what of it is to be released */
  [[nodiscard]] std::uint32_t Reserved() const;
  /** @return size of the lease that is used until LeaseEnd */
  [[nodiscard]] std::uint32_t Lease() const;
  [[nodiscard]] TimePoint LeaseEnd() const;
  /** @return connections that may be open at aNow */
  [[nodiscard]] std::uint32_t Allowance(TimePoint aNow) const;
  /**
   * @param aOpen connections that are open
   * @return how many of them must be closed before any is used
   */
  [[nodiscard]] std::uint32_t MustClose(std::uint32_t aOpen, TimePoint aNow) const;
  /**
   * @param aOpen connections that are open
   * @return the record to write by compare-and-set to release what is above the target;
   * nothing while connections over the allowance are still open
   */
  [[nodiscard]] std::optional<AllocationRecord> Release(std::uint32_t aOpen,
                                                        TimePoint aNow) const;
  /** @return the highest claim seen, for lease requests */
  [[nodiscard]] std::uint64_t Claim() const;
  /** @return the version of the record known; 0 before it was read */
  [[nodiscard]] std::uint64_t RecordVersion() const;

private:
  [[nodiscard]] HomeFloor Own() const;

  InstanceId mSelf;
  AllocationRecord mRecord;
  std::uint64_t mClaim = 0;
  std::uint64_t mNextRequest = 1;
  std::map<std::uint64_t, TimePoint> mSentAt;
  std::uint32_t mLease = 0;
  TimePoint mLeaseEnd;
};

} // namespace papayaspindle
