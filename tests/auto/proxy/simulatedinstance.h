#pragma once

#include "decision/allowance/rateholder.h"
#include "decision/allowance/rateledger.h"
#include "proxy/customers/limitertable.h"
#include "proxy/instanceregistry.h"
#include "proxy/tables/readerchoice.h"
#include "proxy/tables/snapshotreader.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace papayaspindle::proxy {

/** Faults of the links between instances. */
struct LinkFaults
{
  std::uint64_t mLostPerMillion = 0;
  std::uint64_t mDoubledPerMillion = 0;
  std::uint64_t mSlowPerMillion = 0;
};

/** A customer whose clients start operations. */
struct SimulatedCustomer
{
  RateLimit mLimit;
  /** Operations that clients start, per second. */
  double mDemand = 0;
  /** Instance to which all clients connect; empty for all instances alike. */
  std::string mOnlyAt;
  std::vector<TimePoint> mRuns;
  std::uint64_t mStarted = 0;
  std::uint64_t mRefused = 0;
  std::uint64_t mUnavailable = 0;
};

/** An instance and its state on simulated time. */
struct SimulatedInstance
{
  std::string mZone;
  /** 0 while the instance is down. */
  std::uint64_t mProcess = 0;
  bool mIsSuspended = false;
  bool mReachesPeers = true;
  bool mReachesStore = true;
  /** Newest incarnation of the store that the process knows. */
  std::uint64_t mIncarnation = 0;
  std::unique_ptr<LimiterTable> mLimiters;
  std::unique_ptr<RateLedger> mLedger;
  std::unique_ptr<RateHolder> mHolder;
  std::unique_ptr<InstanceRegistry> mRegistry;
  std::unique_ptr<SnapshotReader> mReader;
  ReaderChoice mReaderChoice;
  std::map<std::string, RateLimit, std::less<>> mLimits;
  std::vector<std::function<void()>> mDelayed;
};

} // namespace papayaspindle::proxy
