#include "proxy/proxycore.h"

#include "proxy/proxytimes.h"

#include <fmt/format.h>

#include <algorithm>

namespace papayaspindle::proxy {

ProxyCore::ProxyCore(const ProxySettings& aSettings, ProxyHooks aHooks)
  : mSettings(aSettings)
  , mHooks(std::move(aHooks))
{
}

void
ProxyCore::OnConfiguration(const ProxyConfiguration& aConfiguration, TimePoint aNow)
{
  if (aConfiguration.mVersion <= mConfiguration.mVersion) {
    return;
  }
  mHooks.mLog(LogLevel::Info,
              "configuration_applied",
              { { "version", std::to_string(aConfiguration.mVersion) },
                { "previous", std::to_string(mConfiguration.mVersion) },
                { "routes", std::to_string(aConfiguration.mRoutes.size()) },
                { "customers", std::to_string(aConfiguration.mCustomers.size()) },
                { "keys", std::to_string(aConfiguration.mCustomers.KeyCount()) } });
  mConfiguration = aConfiguration;
  for (const auto& [name, limits] : mConfiguration.mGroups) {
    Group& group = mGroups[name];
    group.mLimits = limits;
    group.mShortestObjective = Duration::max();
  }
  for (const auto& [name, route] : mConfiguration.mRoutes) {
    Group& group = mGroups[route.mGroup];
    group.mShortestObjective =
      std::min(group.mShortestObjective, route.mLatencyObjective);
  }
  UpdateSessionKeys(aNow);
  AdmitEarlySessions(aNow);
  for (auto& [name, group] : mGroups) {
    DispatchWaiting(group, aNow);
  }
}

void
ProxyCore::OnRoutesToMembersChanged(TimePoint aNow)
{
  for (auto& [name, group] : mGroups) {
    DispatchWaiting(group, aNow);
  }
}

void
ProxyCore::StartDrain(TimePoint aNow)
{
  if (mDrainStart) {
    return;
  }
  mDrainStart = aNow;
  mHooks.mLog(LogLevel::Info,
              "drain_started",
              { { "sessions", std::to_string(mSessions.size()) } });
}

void
ProxyCore::SetCutOff(bool aIsCutOff, TimePoint aNow)
{
  if (aIsCutOff == mCutOffSince.has_value()) {
    return;
  }
  mCutOffSince = aIsCutOff ? std::optional(aNow) : std::nullopt;
  mHooks.mLog(LogLevel::Warning,
              aIsCutOff ? "evacuation_started" : "evacuation_ended",
              { { "sessions", std::to_string(mSessions.size()) } });
}

TimePoint
ProxyCore::NextTimer() const
{
  if (mOperationTimers.empty()) {
    return mNextMaintenance;
  }
  return std::min(mNextMaintenance, mOperationTimers.begin()->first);
}

void
ProxyCore::OnTimer(TimePoint aNow)
{
  while (!mOperationTimers.empty() && mOperationTimers.begin()->first <= aNow) {
    const OperationKey key = mOperationTimers.begin()->second;
    mOperationTimers.erase(mOperationTimers.begin());
    OnOperationTimer(key, aNow);
  }
  if (aNow < mNextMaintenance) {
    return;
  }
  mNextMaintenance = aNow + kMaintenanceInterval;
  CheckUnresponsiveConnections(aNow);
  MaintainPools(aNow);
  MaintainSamples(aNow);
  RunStatusQueries(aNow);
  MaintainSessions(aNow);
  AdmitEarlySessions(aNow);
  ShareCapacity(aNow);
  for (auto& [name, group] : mGroups) {
    DispatchWaiting(group, aNow);
  }
}

void
ProxyCore::MaintainSessions(TimePoint aNow)
{
  std::vector<SessionKey> closing;
  for (auto& [key, session] : mSessions) {
    const bool isStarted = session.mTransaction && (session.mTransaction->mConnection ||
                                                    !session.mTransaction->mHome.empty());
    const bool isIdle =
      session.mState == TransactionState::Open && !session.mOperation && isStarted;
    if (isIdle && aNow - session.mLastActivity > mConfiguration.mTransactionIdleLimit) {
      AbortTransaction(key, session, "transaction idle too long", aNow);
    }
    if (mDrainStart || mCutOffSince) {
      closing.push_back(key);
    }
  }
  for (const SessionKey key : closing) {
    CloseIfRequired(key, aNow);
  }
}

Duration
ProxyCore::ShortestObjective(std::string_view aGroup) const
{
  const Group* group = FindGroup(aGroup);
  return group == nullptr ? Duration::max() : group->mShortestObjective;
}

std::vector<std::string>
ProxyCore::GroupNames() const
{
  std::vector<std::string> names;
  for (const auto& [name, limits] : mConfiguration.mGroups) {
    names.push_back(name);
  }
  return names;
}

Group*
ProxyCore::FindGroup(std::string_view aName)
{
  const auto found = mGroups.find(aName);
  return found == mGroups.end() ? nullptr : &found->second;
}

const Group*
ProxyCore::FindGroup(std::string_view aName) const
{
  const auto found = mGroups.find(aName);
  return found == mGroups.end() ? nullptr : &found->second;
}

Member*
ProxyCore::FindMember(std::string_view aId)
{
  const auto found = mMembers.find(aId);
  return found == mMembers.end() ? nullptr : &found->second;
}

bool
ProxyCore::IsUsable(const Member& aMember) const
{
  return aMember.mIsListed && !aMember.mIsMisrouted;
}

std::string
ProxyCore::PreparedName(PreparedKind aKind, const std::string& aShape)
{
  if (mPreparedNameBytes > kMaxPreparedNameBytes) {
    // Statements get new names from now on, and are prepared again on each connection.
    mPreparedNames.clear();
    mPreparedNameBytes = 0;
  }
  const auto [entry, isNew] =
    mPreparedNames.try_emplace({ aKind, aShape }, std::string());
  if (isNew) {
    mPreparedNameBytes += aShape.size();
    entry->second = fmt::format("q{}", ++mPreparedNameCount);
  }
  return entry->second;
}

} // namespace papayaspindle::proxy
