#include "proxy/proxycore.h"

#include <algorithm>
#include <limits>

namespace papayaspindle::proxy {

void
ProxyCore::RecordInFlight(const Group& aGroup, TimePoint aNow)
{
  for (const std::string& id : aGroup.mMembers) {
    Member& member = mMembers.find(id)->second;
    member.mSharing.OnInFlight(member.mInFlight, aNow);
  }
}

void
ProxyCore::ShareCapacity(TimePoint aNow)
{
  if (aNow < mNextCapacityUpdate) {
    return;
  }
  mNextCapacityUpdate = aNow + MemberSharing::kInterval;
  for (const auto& [name, group] : mGroups) {
    if (!mHooks.mIsHome(name)) {
      continue;
    }
    RecordInFlight(group, aNow);
    std::vector<std::pair<std::string, Member*>> members;
    double best = std::numeric_limits<double>::max();
    for (const std::string& id : group.mMembers) {
      Member& member = mMembers.find(id)->second;
      if (IsUsable(member) && !member.mUnreachableSince) {
        best = std::min(best, member.mCapacity.RelativeCost());
        members.emplace_back(id, &member);
      }
    }
    CapacityReport report{ mSettings.mInstance, name, {} };
    for (const auto& [id, member] : members) {
      const auto load = member->mSharing.Update(
        { member->mCapacity.RelativeCost(), best, member->mEntry.mSlots }, aNow);
      if (load) {
        report.mMembers.emplace(id, *load);
      }
    }
    if (!report.mMembers.empty() && mHooks.mReportCapacity) {
      mHooks.mReportCapacity(report);
    }
  }
}

void
ProxyCore::OnCapacityReport(const CapacityReport& aReport, TimePoint aNow)
{
  for (const auto& [id, load] : aReport.mMembers) {
    Member* member = FindMember(id);
    if (member != nullptr && member->mEntry.mGroup == aReport.mGroup) {
      member->mSharing.OnReport(aReport.mHome, load, aNow);
    }
  }
}

} // namespace papayaspindle::proxy
