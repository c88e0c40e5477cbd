#include "decision/configuration/changeplanner.h"

#include <fmt/format.h>

#include <algorithm>

namespace papayaspindle {

namespace {

using Effects = std::vector<std::string>;

const MemberSettings*
FindMember(const GroupSettings& aSettings, const MemberId& aMember)
{
  const auto member =
    std::find_if(aSettings.mMembers.begin(),
                 aSettings.mMembers.end(),
                 [&](const auto& aOther) { return aOther.mMember == aMember; });
  return member == aSettings.mMembers.end() ? nullptr : &*member;
}

const StalenessRule*
FindRule(const GroupSettings& aSettings, const std::string& aName)
{
  const auto& rules = aSettings.mStalenessRules;
  const auto rule = std::find_if(rules.begin(), rules.end(), [&](const auto& aOther) {
    return aOther.mName == aName;
  });
  return rule == rules.end() ? nullptr : &*rule;
}

void
DescribeMember(const MemberSettings& aBefore,
               const MemberSettings& aAfter,
               Effects& aEffects)
{
  const std::string& name = aAfter.mMember.Text();
  if (aBefore.mAddress != aAfter.mAddress) {
    aEffects.push_back(
      fmt::format("Member \"{}\" moves from {} to {}; its connections close.",
                  name,
                  aBefore.mAddress,
                  aAfter.mAddress));
  }
  if (aBefore.mAvailabilityZone != aAfter.mAvailabilityZone) {
    aEffects.push_back(fmt::format("Member \"{}\" is in zone \"{}\" instead of \"{}\".",
                                   name,
                                   aAfter.mAvailabilityZone.Text(),
                                   aBefore.mAvailabilityZone.Text()));
  }
  if (!aBefore.mLeaving && aAfter.mLeaving) {
    aEffects.push_back(fmt::format("Member \"{}\" gets no new work within 3 s.", name));
  }
  if (aBefore.mLeaving && !aAfter.mLeaving) {
    aEffects.push_back(fmt::format("Member \"{}\" gets work again.", name));
  }
}

void
DescribeMembers(const GroupSettings& aBefore,
                const GroupSettings& aAfter,
                Effects& aEffects)
{
  for (const MemberSettings& member : aAfter.mMembers) {
    if (const MemberSettings* before = FindMember(aBefore, member.mMember)) {
      DescribeMember(*before, member, aEffects);
      continue;
    }
    aEffects.push_back(fmt::format("Member \"{}\" at {} in zone \"{}\" is added.",
                                   member.mMember.Text(),
                                   member.mAddress,
                                   member.mAvailabilityZone.Text()));
  }
  for (const MemberSettings& member : aBefore.mMembers) {
    if (FindMember(aAfter, member.mMember) == nullptr) {
      aEffects.push_back(fmt::format("Member \"{}\" is removed{}.",
                                     member.mMember.Text(),
                                     member.mLeaving ? "" : " though it is not leaving"));
    }
  }
}

void
DescribeRules(const GroupSettings& aBefore,
              const GroupSettings& aAfter,
              Effects& aEffects)
{
  for (const StalenessRule& rule : aAfter.mStalenessRules) {
    const StalenessRule* before = FindRule(aBefore, rule.mName);
    if (before == nullptr) {
      aEffects.push_back(fmt::format(
        "Staleness rule \"{}\" allows {} ms.", rule.mName, rule.mMaxStaleness.count()));
    } else if (*before != rule) {
      aEffects.push_back(
        fmt::format("Staleness rule \"{}\" allows {} ms instead of {} ms.",
                    rule.mName,
                    rule.mMaxStaleness.count(),
                    before->mMaxStaleness.count()));
    }
  }
  for (const StalenessRule& rule : aBefore.mStalenessRules) {
    if (FindRule(aAfter, rule.mName) == nullptr) {
      aEffects.push_back(fmt::format(
        "Staleness rule \"{}\" is removed; reads that name it are refused.", rule.mName));
    }
  }
}

void
DescribeLimits(const GroupSettings& aBefore,
               const GroupSettings& aAfter,
               Effects& aEffects)
{
  if (aBefore.mSlots != aAfter.mSlots) {
    aEffects.push_back(
      fmt::format("Each member runs {} statements at once instead of {}.",
                  aAfter.mSlots,
                  aBefore.mSlots));
  }
  if (aAfter.mConnectionLimit > aBefore.mConnectionLimit) {
    aEffects.push_back(fmt::format("The connection limit rises from {} to {}.",
                                   aBefore.mConnectionLimit,
                                   aAfter.mConnectionLimit));
  }
  if (aAfter.mConnectionLimit < aBefore.mConnectionLimit) {
    aEffects.push_back(fmt::format("The connection limit falls from {} to {} as leases "
                                   "expire and floors are released.",
                                   aBefore.mConnectionLimit,
                                   aAfter.mConnectionLimit));
  }
}

} // namespace

std::vector<std::string>
DescribeChange(const GroupSettings* aBefore, const GroupSettings& aAfter)
{
  Effects effects;
  if (aBefore == nullptr) {
    effects.push_back(
      fmt::format("Group \"{}\" is created with {} members, {} slots and {} connections.",
                  aAfter.mGroup.Text(),
                  aAfter.mMembers.size(),
                  aAfter.mSlots,
                  aAfter.mConnectionLimit));
    return effects;
  }
  DescribeMembers(*aBefore, aAfter, effects);
  DescribeLimits(*aBefore, aAfter, effects);
  DescribeRules(*aBefore, aAfter, effects);
  if (effects.empty()) {
    effects.emplace_back("Nothing but the revision changes.");
  }
  return effects;
}

} // namespace papayaspindle
