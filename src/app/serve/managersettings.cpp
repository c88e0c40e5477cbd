#include "serve/managersettings.h"

#include <algorithm>

namespace papayaspindle {

namespace {

// Room for a message's other fields beside a statement or an answer.
constexpr std::size_t kEnvelopeBytes = std::size_t{ 256 } * 1024;
// A snapshot of 15,000 groups has about 5 MB.
constexpr std::size_t kPlatformMessageBytes = std::size_t{ 64 } * 1024 * 1024;

std::size_t
StatementBytes(const Settings& aSettings)
{
  return static_cast<std::size_t>(aSettings.mStatementBytes);
}

std::size_t
AnswerBytes(const Settings& aSettings)
{
  return static_cast<std::size_t>(aSettings.mAnswerBytes);
}

std::size_t
PeerMessageBytes(const Settings& aSettings)
{
  return std::max({ AnswerBytes(aSettings) + kEnvelopeBytes,
                    StatementBytes(aSettings) + kEnvelopeBytes,
                    kDefaultMaxPeerMessageBytes });
}

ReadPolicy
ReadPolicyFromName(const std::string& aName)
{
  if (aName == "primary") {
    return ReadPolicy::PrimaryOnly;
  }
  if (aName == "primary_after_write") {
    return ReadPolicy::PrimaryAfterWrite;
  }
  if (aName == "immediate_fallback") {
    return ReadPolicy::ImmediateFallback;
  }
  return ReadPolicy::BoundedWait;
}

} // namespace

ListenerSettings
CallerListenerSettings(const Settings& aSettings)
{
  return {
    aSettings.mListenCallers,
    { aSettings.mCallerCertificate, aSettings.mCallerKey, aSettings.mCallerAuthority },
    // Larger statements still get the typed refusal up to this size.
    2 * StatementBytes(aSettings) + kEnvelopeBytes
  };
}

ListenerSettings
OperatorListenerSettings(const Settings& aSettings)
{
  return { aSettings.mListenOperators,
           { aSettings.mOperatorCertificate,
             aSettings.mOperatorKey,
             aSettings.mOperatorAuthority },
           kPlatformMessageBytes };
}

TlsSettings
PeerTlsSettings(const Settings& aSettings)
{
  return { aSettings.mPeerCertificate, aSettings.mPeerKey, aSettings.mPeerAuthority };
}

PeerClientSettings
PeerClientSettingsOf(const Settings& aSettings)
{
  PeerClientSettings settings;
  settings.mMaxMessageBytes = PeerMessageBytes(aSettings);
  return settings;
}

PeerServerSettings
PeerServerSettingsOf(const Settings& aSettings)
{
  PeerServerSettings settings;
  settings.mListenAddress = aSettings.mListenPeers;
  settings.mMaxMessageBytes = PeerMessageBytes(aSettings);
  return settings;
}

ChannelSettings
MemberChannelSettings(const Settings& aSettings)
{
  ChannelSettings settings;
  settings.mInstance = aSettings.mInstanceName;
  settings.mMaxMessageBytes =
    std::max(AnswerBytes(aSettings), StatementBytes(aSettings) + kEnvelopeBytes);
  return settings;
}

ChannelSettings
PlatformChannelSettings(const Settings& aSettings)
{
  ChannelSettings settings;
  settings.mInstance = aSettings.mInstanceName;
  settings.mMaxMessageBytes = kPlatformMessageBytes;
  return settings;
}

MembershipManagerSettings
MembershipSettingsOf(const Settings& aSettings)
{
  MembershipManagerSettings settings;
  settings.mSelf.mInstance = InstanceId(aSettings.mInstanceName);
  settings.mSelf.mAvailabilityZone = AvailabilityZone(aSettings.mAvailabilityZone);
  settings.mSelf.mPeerAddress = aSettings.mListenPeers;
  settings.mSelf.mCallerAddress = aSettings.mListenCallers;
  settings.mProtocol.mProbeInterval = aSettings.mProbeInterval;
  settings.mProtocol.mProbeTimeout = aSettings.mProbeTimeout;
  settings.mProtocol.mSuspicionTimeout = aSettings.mSuspicion;
  settings.mProtocol.mIndirectProbes =
    static_cast<std::size_t>(aSettings.mIndirectProbes);
  settings.mProtocol.mMaxTickGap = aSettings.mPauseThreshold;
  settings.mListInterval = aSettings.mListInterval;
  settings.mListTimeout = aSettings.mPlatformTimeout;
  return settings;
}

ConfigurationManagerSettings
ConfigurationSettingsOf(const Settings& aSettings)
{
  ConfigurationManagerSettings settings;
  settings.mSpread.mPollInterval = aSettings.mConfigurationInterval;
  settings.mStoreTimeout = aSettings.mPlatformTimeout;
  settings.mSnapshotEvery = static_cast<std::uint64_t>(aSettings.mSnapshotEvery);
  return settings;
}

FailoverManagerSettings
FailoverSettingsOf(const Settings& aSettings)
{
  FailoverManagerSettings settings;
  settings.mKeeper.mSuspicion.mSilentThreshold = aSettings.mSuspectAfter;
  settings.mKeeper.mSuspicion.mRefusedThreshold = aSettings.mRefusedAfter;
  settings.mKeeper.mSuspicion.mDelayPerRank = aSettings.mRankDelay;
  settings.mKeeper.mReconcile.mDelayPerRank = aSettings.mRankDelay;
  settings.mKeeper.mFailover.mBackoffMin = aSettings.mBackoffMin;
  settings.mKeeper.mFailover.mBackoffMax = aSettings.mBackoffMax;
  settings.mMemberTimeout = aSettings.mFailoverCallTimeout;
  settings.mPeerTimeout = aSettings.mFailoverCallTimeout;
  settings.mStoreTimeout = aSettings.mPlatformTimeout;
  return settings;
}

MonitorSettings
MonitorSettingsOf(const Settings& aSettings)
{
  MonitorSettings settings;
  settings.mPrimaryInterval = aSettings.mMonitorInterval;
  settings.mBusyInterval = aSettings.mMonitorInterval;
  settings.mTimeout = aSettings.mStatusTimeout;
  return settings;
}

StatementSettings
StatementSettingsOf(const Settings& aSettings)
{
  StatementSettings settings;
  settings.mTokens.mKeys = aSettings.mTokenKeys;
  settings.mReads.mPolicy = ReadPolicyFromName(aSettings.mReadPolicy);
  settings.mReads.mMaxReplicaWait = aSettings.mReplicaWait;
  settings.mReads.mDefaultMaxStaleness = aSettings.mDefaultStaleness;
  settings.mMaxStatementBytes = StatementBytes(aSettings);
  settings.mDefaultTimeout = aSettings.mDefaultTimeout;
  return settings;
}

} // namespace papayaspindle
