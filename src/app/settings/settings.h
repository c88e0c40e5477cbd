#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace papayaspindle {

/** The settings of one instance; each member has one row in SettingRows(). */
struct Settings
{
  using Milliseconds = std::chrono::milliseconds;

  std::string mInstanceName;
  std::string mAvailabilityZone;

  std::string mListenCallers;
  std::string mListenOperators;
  std::string mListenPeers;

  std::string mPlatformTables;
  std::string mPlatformObjects;
  std::string mPlatformInstances;
  Milliseconds mPlatformTimeout{};

  std::string mTokenKeyFile;
  std::string mTokenKeysInline;
  /** Raw key bytes of file or inline keys; the first one signs, all of them verify. */
  std::vector<std::string> mTokenKeys;

  std::int64_t mStatementWorkers = 0;
  std::int64_t mControlWorkers = 0;
  std::int64_t mPeerWorkers = 0;
  std::int64_t mStatementQueue = 0;
  std::int64_t mControlQueue = 0;
  std::int64_t mPeerQueue = 0;
  std::int64_t mConnectionQueue = 0;

  std::int64_t mStatementBytes = 0;
  std::int64_t mAnswerBytes = 0;
  Milliseconds mDefaultTimeout{};

  std::string mReadPolicy;
  Milliseconds mDefaultStaleness{};
  Milliseconds mReplicaWait{};

  Milliseconds mMonitorInterval{};
  Milliseconds mStatusTimeout{};
  Milliseconds mSuspectAfter{};
  Milliseconds mRefusedAfter{};

  Milliseconds mRankDelay{};
  Milliseconds mFailoverCallTimeout{};
  Milliseconds mBackoffMin{};
  Milliseconds mBackoffMax{};

  Milliseconds mProbeInterval{};
  Milliseconds mProbeTimeout{};
  Milliseconds mSuspicion{};
  std::int64_t mIndirectProbes = 0;
  Milliseconds mListInterval{};
  Milliseconds mPauseThreshold{};

  Milliseconds mConfigurationInterval{};
  std::int64_t mSnapshotEvery = 0;

  Milliseconds mAllowanceInterval{};

  std::string mLogLevel;
  std::string mLogLevels;
  std::string mTraceFile;

  std::string mCallerCertificate;
  std::string mCallerKey;
  std::string mCallerAuthority;
  std::string mOperatorCertificate;
  std::string mOperatorKey;
  std::string mOperatorAuthority;
  std::string mPeerCertificate;
  std::string mPeerKey;
  std::string mPeerAuthority;

  Milliseconds mDrainAnnounce{};
  Milliseconds mDrainDeadline{};
};

} // namespace papayaspindle
