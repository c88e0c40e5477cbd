#pragma once

#include "proxy/positionsamples.h"
#include "proxy/proxyconfiguration.h"
#include "proxy/session.h"

#include <string>
#include <vector>

namespace papayaspindle::proxy {

/** Age after which a position sample is dropped; above any staleness in use. */
constexpr Duration kSampleWindow = std::chrono::seconds(15);

/** A database group as this instance sees it. */
struct Group
{
  GroupLimits mLimits;
  std::vector<std::string> mMembers;
  /** Shortest latency objective of the group's routes. */
  Duration mShortestObjective = std::chrono::milliseconds(200);
  PositionSamples mSamples{ kSampleWindow };
  /** Operations that wait for a connection, in the order of their arrival. */
  std::vector<OperationKey> mWaiting;
  /** When a read with a bounded age was last asked for. */
  TimePoint mLastBoundedRead;
  /** Member that last proved to lead. */
  std::string mProvenPrimary;
  TimePoint mProvenAt;
  /** Since when the member that calls itself primary refuses to lead. */
  std::optional<TimePoint> mLeaderlessSince;
  /** When a statement was last refused because too many others wait. */
  TimePoint mOverloadedAt;
  /** When the instance last looked for a leader among all members. */
  TimePoint mLastLeaderSearch;
  /** When a sample was last asked for. */
  TimePoint mLastSampleAsked;
};

} // namespace papayaspindle::proxy
