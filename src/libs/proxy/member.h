#pragma once

#include "core/logposition.h"
#include "core/timetypes.h"
#include "decision/capacity/membercapacity.h"
#include "decision/capacity/membersharing.h"
#include "proxy/admission/concurrencywindow.h"
#include "proxy/admission/memberthroughput.h"
#include "proxy/connections/memberpool.h"
#include "proxy/memberentry.h"
#include "proxy/slownesswatch.h"
#include "proxy/storerevision.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>

namespace papayaspindle::proxy {

/** State of a backend server at this instance. */
struct Member
{
  MemberEntry mEntry;
  /** Whether the directory lists the member. */
  bool mIsListed = true;
  /** Whether another member answered at the entry's address; the member is unusable until
   * its entry changes. */
  bool mIsMisrouted = false;
  /** Directory revision at which the member was first listed as primary; nothing for a
   * replica. */
  std::optional<StoreRevision> mPrimarySince;
  /** Connections to the member. */
  MemberPool mPool;
  /** Number of statements that occupy or wait for a slot. */
  std::uint32_t mInFlight = 0;
  /** Limits mInFlight together with mCapacity. */
  ConcurrencyWindow mWindow;
  MemberCapacity mCapacity;
  /** Agreement with the group's other homes on the member's reads. */
  MemberSharing mSharing;
  /** Since when the member has been unreachable: no connection works and none can be
   * opened. */
  std::optional<TimePoint> mUnreachableSince;
  TimePoint mLastReply;
  /** Smoothed time from sending a statement to its answer. */
  Duration mServiceTime = std::chrono::milliseconds(15);
  SlownessWatch mSlowness;
  /** Until when reads that require a log position are sent to other members. */
  TimePoint mLaggingUntil;
  Duration mLagBackoff{};
  /** Since when the member has lacked positions that reads required; refusals for a
   * session's own last commit don't count. */
  std::optional<TimePoint> mLaggingSince;
  /** Until when the member is not considered the primary because it has refused to lead.
   */
  TimePoint mNotLeadingUntil;
  /** When the directory first listed the member as draining. */
  std::optional<TimePoint> mDrainingSince;
  /** Newest log position that the member has reported. */
  std::optional<LogPosition> mPosition;
  /** Newest term that the member has reported. It may be newer than that of mPosition,
   * which changes with the first commit of a term. */
  std::uint64_t mTerm = 0;
  /** When the member left the directory; only meaningful while mIsListed is false. */
  TimePoint mDepartedAt;

  /** @return maximum of mInFlight, at least 1 */
  [[nodiscard]] std::uint32_t Limit() const
  {
    return std::min(mWindow.Limit(), mCapacity.Limit());
  }
  [[nodiscard]] MemberThroughput Throughput() const { return { Limit(), mServiceTime }; }
};

} // namespace papayaspindle::proxy
