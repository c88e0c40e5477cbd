#pragma once

#include "core/timetypes.h"
#include "decision/allowance/allocationrecord.h"
#include "decision/allowance/allowanceholder.h"
#include "decision/allowance/allowanceledger.h"

#include <optional>

namespace papayaspindle {

/** A group's share of connections at this instance, in both roles. */
struct GroupShare
{
  explicit GroupShare(const InstanceId& aSelf)
    : mHolder(aSelf)
    , mLedger(aSelf)
  {
  }

  /** Takes a record that is known to be in the table service. */
  void OnRecord(const AllocationRecord& aRecord, TimePoint aNow)
  {
    mHolder.OnRecord(aRecord);
    mLedger.SetRecord(aRecord, aNow);
    if (!mRecord || aRecord.mVersion > mRecord->mVersion) {
      mRecord = aRecord;
    }
  }

  AllowanceHolder mHolder;
  AllowanceLedger mLedger;
  /** The record with the highest version known. */
  std::optional<AllocationRecord> mRecord;
  /** When the record was last read; empty when it must be read at once. */
  std::optional<TimePoint> mReadAt;
};

} // namespace papayaspindle
