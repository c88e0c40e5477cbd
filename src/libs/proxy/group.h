#pragma once

#include "proxy/admission/admissionorder.h"
#include "proxy/admission/operationqueue.h"
#include "proxy/positionsamples.h"
#include "proxy/proxyconfiguration.h"

#include <string>
#include <vector>

namespace papayaspindle::proxy {

/** Age at which a position sample is dropped; greater than any staleness in use. */
constexpr Duration kSampleRetention = std::chrono::seconds(15);

/** State of a database group at this instance. */
struct Group
{
  GroupLimits mLimits;
  std::vector<std::string> mMembers;
  /** Shortest latency objective of the group's routes. */
  Duration mShortestObjective = std::chrono::milliseconds(200);
  PositionSamples mSamples{ kSampleRetention };
  /** Operations that wait for a connection. */
  OperationQueue mWaiting;
  /** Order of mWaiting where connections bear the names of customers. */
  AdmissionOrder mAdmission;
  /** Plan of the latest dispatch by mAdmission. */
  AdmissionPlan mPlan;
  /** When the last read with a staleness limit arrived. */
  TimePoint mLastBoundedRead;
  /** Member that was last proven to be the leader. */
  std::string mProvenPrimary;
  TimePoint mProvenAt;
  /** Since when the presumed primary has refused to lead. */
  std::optional<TimePoint> mLeaderlessSince;
  /** When a statement was last refused because too many others were waiting. */
  TimePoint mOverloadedAt;
  /** When this instance last searched all members for the leader. */
  TimePoint mLastLeaderSearch;
  /** When the last position sample was requested. */
  TimePoint mLastSampleRequestedAt;
};

} // namespace papayaspindle::proxy
