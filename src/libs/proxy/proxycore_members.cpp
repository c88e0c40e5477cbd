#include "proxy/proxycore.h"

#include "proxy/leadership/promotiontimes.h"
#include "proxy/proxytimes.h"

#include <algorithm>

namespace papayaspindle::proxy {

void
ProxyCore::OnDirectory(std::span<const MemberEntry> aEntries, TimePoint aNow)
{
  std::set<std::string_view> listed;
  for (const MemberEntry& entry : aEntries) {
    listed.insert(entry.mId);
    Member& member = mMembers[entry.mId];
    if (!member.mEntry.mId.empty() && member.mEntry.mGroup != entry.mGroup) {
      RemoveFromGroup(member, aNow);
    }
    const bool isNew = member.mEntry.mId.empty();
    const bool isRestarted = !isNew && member.mEntry.mStartedAtMs != entry.mStartedAtMs;
    const bool isMoved = !isNew && member.mEntry.mAddress != entry.mAddress;
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
      if (!member.mPrimarySince || isRestarted) {
        member.mPrimarySince = entry.Version();
        member.mNotLeadingUntil = {};
      }
    } else {
      member.mPrimarySince.reset();
    }
    if (isNew || member.mEntry.Version() != entry.Version()) {
      member.mIsMisrouted = false;
    }
    if (isRestarted || isMoved) {
      member.mPool.ResetBackoff(aNow);
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
      member.mDepartedAt = aNow;
      member.mPrimarySince.reset();
      mHooks.mLog(LogLevel::Info,
                  "member_gone",
                  { { "member", id }, { "group", member.mEntry.mGroup } });
    }
  }
  for (auto& [name, group] : mGroups) {
    DispatchWaiting(group, aNow);
  }
}

void
ProxyCore::RemoveFromGroup(Member& aMember, TimePoint aNow)
{
  // The connections are closed because they may carry statements for the old group.
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

TimePoint
ProxyCore::LastMemberReplyAt(std::string_view aZone) const
{
  TimePoint lastReplyAt;
  for (const auto& [id, member] : mMembers) {
    if (member.mEntry.mZone == aZone) {
      lastReplyAt = std::max(lastReplyAt, member.mLastReply);
    }
  }
  return lastReplyAt;
}

const Member*
ProxyCore::PresumedPrimary(const Group& aGroup, TimePoint aNow) const
{
  if (const Member* leading = PrimaryMember(aGroup, aNow)) {
    return leading;
  }
  const std::optional<std::string> decided = mHooks.mLeader(aGroup.mLimits.mName);
  if (decided && !decided->empty()) {
    const auto leader = mMembers.find(*decided);
    return leader == mMembers.end() ? nullptr : &leader->second;
  }
  const Member* claimant = nullptr;
  for (const std::string& id : aGroup.mMembers) {
    const Member& member = mMembers.find(id)->second;
    if (member.mPrimarySince &&
        (claimant == nullptr || *member.mPrimarySince > *claimant->mPrimarySince)) {
      claimant = &member;
    }
  }
  return claimant;
}

std::optional<std::string>
ProxyCore::PrimaryZone(std::string_view aGroup, TimePoint aNow) const
{
  const Group* group = FindGroup(aGroup);
  const Member* claimant = group == nullptr ? nullptr : PresumedPrimary(*group, aNow);
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
  const Member* claimant = PresumedPrimary(*group, aNow);
  if (claimant == nullptr) {
    return health;
  }
  health.mMember = claimant->mEntry.mId;
  health.mIsDraining = claimant->mEntry.mDraining;
  health.mIsListed = claimant->mIsListed;
  health.mDownSince = claimant->mUnreachableSince;
  health.mLastReply = claimant->mLastReply;
  const bool refusesToLead =
    group->mLeaderlessSince && aNow - *group->mLeaderlessSince > kLeaderlessTimeout;
  if (!health.mDownSince && refusesToLead) {
    health.mDownSince = group->mLeaderlessSince;
  }
  health.mPosition = claimant->mPosition;
  health.mIsOverloadedByLag = aNow - group->mOverloadedAt < kOverloadIndicationTime &&
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
    if (!member.mLaggingSince || aNow - *member.mLaggingSince < kLagTolerance) {
      return false;
    }
    isAnyLagging = true;
  }
  return isAnyLagging;
}

std::vector<MemberEntry>
ProxyCore::ListedMembers(std::string_view aGroup) const
{
  std::vector<MemberEntry> members;
  if (const Group* group = FindGroup(aGroup)) {
    for (const std::string& id : group->mMembers) {
      const Member& member = mMembers.find(id)->second;
      if (member.mIsListed) {
        members.push_back(member.mEntry);
      }
    }
  }
  return members;
}

std::vector<MemberEntry>
ProxyCore::ReplicasOf(std::string_view aGroup) const
{
  std::vector<MemberEntry> replicas;
  if (const Group* group = FindGroup(aGroup)) {
    const std::optional<std::string> decided = mHooks.mLeader(aGroup);
    for (const std::string& id : group->mMembers) {
      const Member& member = mMembers.find(id)->second;
      const bool isReplica =
        decided && !decided->empty() ? *decided != id : !member.mPrimarySince;
      if (member.mIsListed && isReplica) {
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
      term =
        std::max({ term, member.mTerm, member.mPosition ? member.mPosition->mTerm : 0 });
    }
  }
  return term;
}

bool
ProxyCore::IsRetained(const Member& aMember, TimePoint aNow) const
{
  const Group* group = FindGroup(aMember.mEntry.mGroup);
  return !aMember.mIsListed && group != nullptr &&
         group->mLimits.mSynchronousReplicas > 0 &&
         aNow - aMember.mDepartedAt < kDepartedMemberRetention;
}

void
ProxyCore::OnPromotionAccepted(std::string_view aGroup,
                               std::string_view aMember,
                               TimePoint)
{
  mHooks.mLog(LogLevel::Info,
              "primary_expected",
              { { "group", std::string(aGroup) }, { "member", std::string(aMember) } });
  if (Member* member = FindMember(aMember)) {
    member->mNotLeadingUntil = {};
  }
}

const Member*
ProxyCore::PrimaryMember(const Group& aGroup, TimePoint aNow) const
{
  if (const std::optional<std::string> decided = mHooks.mLeader(aGroup.mLimits.mName)) {
    const auto leader = mMembers.find(*decided);
    const bool leads = leader != mMembers.end() && IsUsable(leader->second) &&
                       leader->second.mNotLeadingUntil <= aNow;
    return leads ? &leader->second : nullptr;
  }
  // A recent proof of leadership takes precedence over the directory, whose entries lag
  // behind.
  if (aNow - aGroup.mProvenAt < kLeadershipProofLifetime) {
    const auto proven = mMembers.find(aGroup.mProvenPrimary);
    if (proven != mMembers.end() && IsUsable(proven->second) &&
        proven->second.mNotLeadingUntil <= aNow) {
      return &proven->second;
    }
  }
  const Member* primary = nullptr;
  for (const std::string& id : aGroup.mMembers) {
    const Member& member = mMembers.find(id)->second;
    if (member.mPrimarySince && IsUsable(member) && member.mNotLeadingUntil <= aNow &&
        (primary == nullptr || *member.mPrimarySince > *primary->mPrimarySince)) {
      primary = &member;
    }
  }
  return primary;
}

PrimaryUse
ProxyCore::UseOfPrimary(std::string_view aGroup,
                        const Member* aPrimary,
                        TimePoint aNow) const
{
  // During a store outage, the directory may still name a primary that was replaced.
  if (aPrimary == nullptr || aPrimary->mUnreachableSince) {
    return PrimaryUse::Unknown;
  }
  if (!mHooks.mHasLeaderLease(aGroup, aPrimary->mEntry.mId, aNow)) {
    return PrimaryUse::NoLease;
  }
  const bool isLeaving =
    aPrimary->mDrainingSince && aNow - *aPrimary->mDrainingSince > kDrainingPrimaryUse;
  return isLeaving ? PrimaryUse::Draining : PrimaryUse::Usable;
}

} // namespace papayaspindle::proxy
