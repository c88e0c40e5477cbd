#pragma once

#include "core/timetypes.h"
#include "decision/allowance/allocationrecord.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace papayaspindle {

/** A home's request to its keeper for connections beyond its floor. */
struct LeaseRequest
{
  InstanceId mHolder;
  /** Connections beyond the floor that the holder could use now. */
  std::uint32_t mDemand = 0;
  /** The highest claim that the holder has seen. */
  std::uint64_t mClaim = 0;
  /** Open connections beyond the floor. */
  std::uint32_t mInUse = 0;
};

/** Why a lease is refused. */
enum class LeaseRefusal : std::uint8_t
{
  None,
  /** This instance has no claim in the known record, or a newer claim exists. */
  NotKeeper,
  /** The authority has expired, or its epoch is not that of the claim. */
  NoAuthority,
  /** Leases of the previous keeper may still be valid. */
  Quarantine,
};

/** The keeper's answer to a lease request. */
struct LeaseGrant
{
  LeaseRefusal mRefusal = LeaseRefusal::None;
  std::uint32_t mGranted = 0;
  Duration mDuration{};
  std::uint64_t mClaim = 0;
};

/** The keeper's account of the leases that it has granted from a group's pool. */
class AllowanceLedger
{
public:
  /** @param aSelf the instance that grants leases as keeper */
  explicit AllowanceLedger(InstanceId aSelf);

  /** Stores the limit if its configuration revision is higher than the stored one. */
  void SetLimit(std::uint32_t aLimit, std::uint64_t aRevision);

  /**
   * Stores the record if its version is higher than that of the stored record. A new
   * claim of this instance starts the quarantine, in which no leases are granted.
   *
   * @param aNow when the instance learned that the record is in the table service
   */
  void SetRecord(const AllocationRecord& aRecord, TimePoint aNow);

  /**
   * Excludes the connections of floors that the keeper is about to raise from the pool,
   * until a record of a higher version than aNext.mVersion is stored.
   *
   * @param aNext the record to write
   * @return whether the record may be written now, because the leases of this keeper and
   * the floors of aNext together are within the limit. If not, call again after leases
   * have expired.
   */
  bool PrepareFloors(const AllocationRecord& aNext, TimePoint aNow);

  /**
   * Grants a lease according to the demands of all holders.
   *
   * Earlier leases of the holder stay reserved until they expire, because the holder goes
   * on using them if this answer is lost. Connections that the holder reports as in use
   * stay reserved too, because a connection with an open transaction is closed only after
   * the transaction ends.
   *
   * @param aValidEpoch epoch of this instance's authority if it is valid at aNow
   */
  LeaseGrant Grant(const LeaseRequest& aRequest,
                   std::optional<std::uint64_t> aValidEpoch,
                   TimePoint aNow);

  /** @return whether the instance has requested a lease, granted or not, within the last
   * kLeaseDuration */
  [[nodiscard]] bool HasRecentRequest(const InstanceId& aHolder, TimePoint aNow) const;

  /**
   * Refuses all further requests under the current claim; called before the claim is
   * withdrawn. Granting again requires a new claim, because the write that withdraws the
   * claim may take effect late.
   */
  void StopGranting();

  /** @return connections of the pool that homes may be using at aNow */
  [[nodiscard]] std::uint32_t Outstanding(TimePoint aNow) const;
  /** @return whether the latest record names this instance as keeper and StopGranting()
   * has not been called since its claim */
  [[nodiscard]] bool HasClaim() const;
  [[nodiscard]] std::uint32_t Limit() const;

private:
  struct Lease
  {
    std::uint32_t mConnections = 0;
    TimePoint mExpiresAt;
  };
  struct Holder
  {
    std::uint32_t mDemand = 0;
    std::uint32_t mInUse = 0;
    TimePoint mRequestedAt;
    std::vector<Lease> mLeases;
  };

  [[nodiscard]] LeaseRefusal FindRefusal(const LeaseRequest& aRequest,
                                         std::optional<std::uint64_t> aValidEpoch,
                                         TimePoint aNow) const;
  [[nodiscard]] std::uint32_t PoolSize() const;
  [[nodiscard]] std::uint32_t FairShareOf(const InstanceId& aHolder) const;
  void RemoveExpired(TimePoint aNow);
  static std::uint32_t OutstandingOf(const Holder& aHolder, TimePoint aNow);

  InstanceId mSelf;
  std::uint32_t mLimit = 0;
  std::uint64_t mLimitRevision = 0;
  AllocationRecord mRecord;
  std::uint32_t mPlannedFloors = 0;
  /** Leases are granted from this time on; empty while this instance has no claim. */
  std::optional<TimePoint> mQuarantineEnd;
  std::map<InstanceId, Holder> mHolders;
  std::map<InstanceId, TimePoint> mLastRequestTimes;
};

} // namespace papayaspindle
