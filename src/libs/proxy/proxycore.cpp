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
                { "routes", std::to_string(aConfiguration.mRoutes.size()) } });
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
  AdmitEarlySessions(aNow);
  for (auto& [name, group] : mGroups) {
    Dispatch(group, aNow);
  }
}

void
ProxyCore::OnDirectory(std::span<const MemberEntry> aEntries, TimePoint aNow)
{
  std::set<std::string_view> listed;
  for (const MemberEntry& entry : aEntries) {
    listed.insert(entry.mId);
    Member& member = mMembers[entry.mId];
    if (!member.mEntry.mId.empty() && member.mEntry.mGroup != entry.mGroup) {
      MoveMember(member, aNow);
    }
    const bool isNew = member.mEntry.mId.empty();
    const bool isRestarted = !isNew && member.mEntry.mStartedAtMs != entry.mStartedAtMs;
    const bool isMoved = !isNew && member.mEntry.mAddress != entry.mAddress;
    const bool wasPrimary = !isNew && member.mEntry.mRole == MemberRole::Primary;
    if (isNew || !(member.mEntry == entry) || !member.mIsListed) {
      mHooks.mLog(
        LogLevel::Info,
        "member_changed",
        { { "member", entry.mId },
          { "group", entry.mGroup },
          { "zone", entry.mZone },
          { "role", entry.mRole == MemberRole::Primary ? "primary" : "replica" },
          { "draining", entry.mDraining ? "yes" : "no" },
          { "revision", std::to_string(entry.mRevision) } });
    }
    if (entry.mRole == MemberRole::Primary) {
      if (!wasPrimary || isRestarted) {
        member.mPrimarySince = entry.mRevision;
        member.mNotLeadingUntil = {};
      }
    } else {
      member.mPrimarySince = 0;
    }
    if (isNew || member.mEntry.mRevision != entry.mRevision) {
      member.mIsMisrouted = false;
    }
    if (isRestarted || isMoved) {
      member.mOpenAfter = aNow;
      member.mOpenBackoff = {};
      member.mLaggingUntil = {};
      member.mPosition.reset();
    }
    if (!entry.mDraining) {
      member.mDrainingSince.reset();
    } else if (!member.mDrainingSince) {
      member.mDrainingSince = aNow;
    }
    member.mEntry = entry;
    member.mIsListed = true;
    std::vector<std::string>& members = mGroups[entry.mGroup].mMembers;
    if (std::find(members.begin(), members.end(), entry.mId) == members.end()) {
      members.push_back(entry.mId);
    }
  }
  for (auto& [id, member] : mMembers) {
    if (member.mIsListed && !listed.contains(id)) {
      member.mIsListed = false;
      member.mPrimarySince = 0;
      mHooks.mLog(LogLevel::Info,
                  "member_gone",
                  { { "member", id }, { "group", member.mEntry.mGroup } });
    }
  }
  for (auto& [name, group] : mGroups) {
    Dispatch(group, aNow);
  }
}

void
ProxyCore::MoveMember(Member& aMember, TimePoint aNow)
{
  // Statements of the old group must not reach the member under its new one.
  std::vector<ConnectionKey> connections;
  for (const auto& [key, connection] : mConnections) {
    if (connection.mMember == aMember.mEntry.mId) {
      connections.push_back(key);
    }
  }
  aMember.mIsListed = false;
  std::erase(mGroups[aMember.mEntry.mGroup].mMembers, aMember.mEntry.mId);
  for (const ConnectionKey key : connections) {
    OnConnectionFailed(key, aNow);
  }
}

void
ProxyCore::OnHomesChanged(TimePoint aNow)
{
  for (auto& [name, group] : mGroups) {
    Dispatch(group, aNow);
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
ProxyCore::MemberHeardAt(std::string_view aZone) const
{
  TimePoint heardAt;
  for (const auto& [id, member] : mMembers) {
    if (member.mEntry.mZone == aZone) {
      heardAt = std::max(heardAt, member.mLastReply);
    }
  }
  return heardAt;
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
  CheckSilentConnections(aNow);
  MaintainPools(aNow);
  MaintainSamples(aNow);
  RunStatusQueries(aNow);
  MaintainSessions(aNow);
  AdmitEarlySessions(aNow);
  for (auto& [name, group] : mGroups) {
    Dispatch(group, aNow);
  }
}

void
ProxyCore::MaintainSessions(TimePoint aNow)
{
  std::vector<SessionKey> idle;
  for (auto& [key, session] : mSessions) {
    const bool isHeld = session.mTransaction && (session.mTransaction->mConnection ||
                                                 !session.mTransaction->mHome.empty());
    const bool rests =
      session.mState == TransactionState::Open && !session.mOperation && isHeld;
    if (rests && aNow - session.mLastActivity > mConfiguration.mTransactionIdle) {
      AbortTransaction(key, session, "transaction idle too long", aNow);
    }
    if (mDrainStart || mCutOffSince) {
      idle.push_back(key);
    }
  }
  for (const SessionKey key : idle) {
    CloseIfLeft(key, aNow);
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

const Member*
ProxyCore::Claimant(const Group& aGroup, TimePoint aNow) const
{
  if (const Member* leading = PrimaryMember(aGroup, aNow)) {
    return leading;
  }
  const Member* claimant = nullptr;
  for (const std::string& id : aGroup.mMembers) {
    const Member& member = mMembers.find(id)->second;
    if (member.mPrimarySince > 0 &&
        (claimant == nullptr || member.mPrimarySince > claimant->mPrimarySince)) {
      claimant = &member;
    }
  }
  return claimant;
}

std::optional<std::string>
ProxyCore::PrimaryZone(std::string_view aGroup, TimePoint aNow) const
{
  const Group* group = FindGroup(aGroup);
  const Member* claimant = group == nullptr ? nullptr : Claimant(*group, aNow);
  return claimant == nullptr ? std::nullopt : std::optional(claimant->mEntry.mZone);
}

PrimaryHealth
ProxyCore::PrimaryOf(std::string_view aGroup, TimePoint aNow) const
{
  PrimaryHealth health;
  const Group* group = FindGroup(aGroup);
  if (group == nullptr) {
    return health;
  }
  const Member* claimant = Claimant(*group, aNow);
  if (claimant == nullptr) {
    return health;
  }
  health.mMember = claimant->mEntry.mId;
  health.mIsDraining = claimant->mEntry.mDraining;
  health.mIsListed = claimant->mIsListed;
  health.mDownSince = claimant->mUnreachableSince;
  health.mLastReply = claimant->mLastReply;
  const bool refusesToLead =
    group->mLeaderlessSince && aNow - *group->mLeaderlessSince > kLeaderlessPatience;
  if (!health.mDownSince && refusesToLead) {
    health.mDownSince = group->mLeaderlessSince;
  }
  health.mPosition = claimant->mPosition;
  health.mIsOverloadedByLag = aNow - group->mOverloadedAt < kOverloadSign &&
                              AllReplicasLag(*group, *claimant, aNow);
  return health;
}

bool
ProxyCore::AllReplicasLag(const Group& aGroup,
                          const Member& aPrimary,
                          TimePoint aNow) const
{
  bool isAnyLagging = false;
  for (const std::string& id : aGroup.mMembers) {
    const Member& member = mMembers.find(id)->second;
    if (&member == &aPrimary || !IsUsable(member) || member.mEntry.mDraining ||
        member.mUnreachableSince) {
      continue;
    }
    if (!member.mLaggingSince || aNow - *member.mLaggingSince < kLagPatience) {
      return false;
    }
    isAnyLagging = true;
  }
  return isAnyLagging;
}

std::vector<MemberEntry>
ProxyCore::ReplicasOf(std::string_view aGroup) const
{
  std::vector<MemberEntry> replicas;
  if (const Group* group = FindGroup(aGroup)) {
    for (const std::string& id : group->mMembers) {
      const Member& member = mMembers.find(id)->second;
      if (member.mIsListed && member.mPrimarySince == 0) {
        replicas.push_back(member.mEntry);
      }
    }
  }
  return replicas;
}

std::uint64_t
ProxyCore::NewestTerm(std::string_view aGroup) const
{
  std::uint64_t term = 0;
  if (const Group* group = FindGroup(aGroup)) {
    for (const std::string& id : group->mMembers) {
      const Member& member = mMembers.find(id)->second;
      term = std::max(term, member.mPosition ? member.mPosition->mTerm : 0);
    }
  }
  return term;
}

void
ProxyCore::ExpectPrimary(std::string_view aGroup, std::string_view aMember, TimePoint)
{
  mHooks.mLog(LogLevel::Info,
              "primary_expected",
              { { "group", std::string(aGroup) }, { "member", std::string(aMember) } });
  if (Member* member = FindMember(aMember)) {
    member->mNotLeadingUntil = {};
  }
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

const Member*
ProxyCore::PrimaryMember(const Group& aGroup, TimePoint aNow) const
{
  // A recent proof counts more than the directory, which lags.
  if (aNow - aGroup.mProvenAt < kProofLasts) {
    const auto proven = mMembers.find(aGroup.mProvenPrimary);
    if (proven != mMembers.end() && IsUsable(proven->second) &&
        proven->second.mNotLeadingUntil <= aNow) {
      return &proven->second;
    }
  }
  const Member* primary = nullptr;
  for (const std::string& id : aGroup.mMembers) {
    const Member& member = mMembers.find(id)->second;
    if (member.mPrimarySince > 0 && IsUsable(member) && member.mNotLeadingUntil <= aNow &&
        (primary == nullptr || member.mPrimarySince > primary->mPrimarySince)) {
      primary = &member;
    }
  }
  return primary;
}

std::string
ProxyCore::PreparedName(PreparedKind aKind, const std::string& aShape)
{
  const auto [entry, isNew] =
    mPreparedNames.try_emplace({ aKind, aShape }, std::string());
  if (isNew) {
    entry->second = fmt::format("q{}", mPreparedNames.size());
  }
  return entry->second;
}

} // namespace papayaspindle::proxy
