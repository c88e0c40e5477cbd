#pragma once

#include "core/timetypes.h"
#include "decision/allowance/allocationrecord.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace papayaspindle {

/** A home's request for connections beyond its floor. */
struct LeaseRequest
{
  InstanceId mHolder;
  std::uint32_t mDemand = 0;
  /** The highest claim that the holder has seen. */
  std::uint64_t mClaim = 0;
  /** Connections held beyond the floor. */
  std::uint32_t mInUse = 0;
};

/** Why a lease is refused. */
enum class LeaseRefusal : std::uint8_t
{
  None,
  /** The record known here names no claim of this instance, or a newer one exists. */
  NotKeeper,
  /** The authority has expired or is of another epoch than the claim. */
  NoAuthority,
  /** Leases of the keeper before may still hold. */
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

/** A group's pool as its keeper leases it. */
class AllowanceLedger
{
public:
  /** @param aSelf the keeper */
  explicit AllowanceLedger(InstanceId aSelf);

  /** Takes a limit of a higher configuration revision than the one known. */
  void SetLimit(std::uint32_t aLimit, std::uint64_t aRevision);

  /**
   * Takes a record of a higher version than the one known. A claim that is new to the
   * ledger starts the quarantine.
   *
   * @param aNow when it became known that the record is in the table service
   */
  void SetRecord(const AllocationRecord& aRecord, TimePoint aNow);

  /**
   * Keeps connections back for floors that the keeper is about to raise, until a record
   * of a higher version than aNext.mVersion is known.
   *
   * @param aNext the record to write
   * @return whether it may be written now: this keeper's leases and the floors of aNext
   * fit the limit together; else try again when leases have expired
   */
  bool PrepareFloors(const AllocationRecord& aNext, TimePoint aNow);

  /**
   * Grants a lease by demand.
   *
   * A holder's earlier leases stay reserved until they expire, because it may not receive
   * this answer and go on using them. Connections that it reports as held stay reserved
   * too: one with an open transaction is closed only when it is released.
   *
   * @param aValidEpoch epoch of this instance's authority, if it is valid at aNow
   */
  LeaseGrant Grant(const LeaseRequest& aRequest,
                   std::optional<std::uint64_t> aValidEpoch,
                   TimePoint aNow);

  /** @return whether the instance has asked for a lease in the last kLeaseDuration, also
   * when it was refused */
  [[nodiscard]] bool HasAsked(const InstanceId& aHolder, TimePoint aNow) const;

  /** Grants nothing more under the present claim; called before the claim is given up. A
   * new claim is needed to grant again, since the write that gives up may take effect
   * late.
   */
  void StopGranting();

  /** @return connections of the pool that may be in use at aNow */
  [[nodiscard]] std::uint32_t Outstanding(TimePoint aNow) const;
  /** @return whether the last record names this instance and it has not stopped granting
   */
  [[nodiscard]] bool HasClaim() const;
  [[nodiscard]] std::uint32_t Limit() const;

private:
  struct Lease
  {
    std::uint32_t mCount = 0;
    TimePoint mUntil;
  };
  struct Holder
  {
    std::uint32_t mDemand = 0;
    std::uint32_t mInUse = 0;
    TimePoint mAskedAt;
    std::vector<Lease> mLeases;
  };

  [[nodiscard]] LeaseRefusal Check(const LeaseRequest& aRequest,
                                   std::optional<std::uint64_t> aValidEpoch,
                                   TimePoint aNow) const;
  [[nodiscard]] std::uint32_t Pool() const;
  [[nodiscard]] std::uint32_t FairShareOf(const InstanceId& aHolder) const;
  void DropExpired(TimePoint aNow);
  static std::uint32_t OutstandingOf(const Holder& aHolder, TimePoint aNow);

  InstanceId mSelf;
  std::uint32_t mLimit = 0;
  std::uint64_t mLimitRevision = 0;
  AllocationRecord mRecord;
  std::uint32_t mPlannedFloors = 0;
  /** End of the quarantine; empty while this instance has no claim. */
  std::optional<TimePoint> mGrantsFrom;
  std::map<InstanceId, Holder> mHolders;
  std::map<InstanceId, TimePoint> mAsked;
};

} // namespace papayaspindle
