#include "serve/groupreport.h"

#include "daemon/connections/connectionmanager.h"
#include "daemon/failover/failovermanager.h"
#include "daemon/statements/freshnessboard.h"

#include <chrono>
#include <utility>

namespace papayaspindle {

GroupReportHook
ReportMembers(const Groups& aGroups, const FreshnessBoard& aFreshness, NowHook aNow)
{
  return [&aGroups, &aFreshness, now = std::move(aNow)](const GroupId& aGroup,
                                                        v1::ShowGroupReply& aReply) {
    const auto settings = aGroups.Settings(aGroup);
    if (!settings) {
      return;
    }
    const GroupView view = aGroups.View(aGroup);
    for (const MemberSettings& member : settings->mMembers) {
      v1::MemberState* state = aReply.add_members();
      state->set_member(member.mMember.Text());
      state->set_availability_zone(member.mAvailabilityZone.Text());
      state->set_role(member.mMember == view.mPrimary ? "primary" : "replica");
      state->set_leaving(member.mLeaving);
      if (const auto progress = aFreshness.ProgressOf(aGroup, member.mMember)) {
        state->set_term(progress->mTerm);
        *state->mutable_applied() = ToMessage(progress->mApplied);
      }
      const auto age = aFreshness.ProvenAge(*settings, member.mMember, view.mTerm, now());
      if (age) {
        const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(*age);
        state->set_proven_age_ms(static_cast<std::uint64_t>(ms.count()));
      }
    }
  };
}

GroupReportHook
ReportFailovers(const FailoverManager& aFailovers)
{
  return [&aFailovers](const GroupId& aGroup, v1::ShowGroupReply& aReply) {
    for (v1::MemberState& member : *aReply.mutable_members()) {
      const auto silence = std::chrono::duration_cast<std::chrono::milliseconds>(
        aFailovers.Silence(aGroup, MemberId(member.member())));
      member.set_silence_ms(static_cast<std::uint64_t>(silence.count()));
    }
    if (const auto report = aFailovers.LastFailover(aGroup)) {
      *aReply.mutable_last_failover() = *report;
    }
  };
}

GroupReportHook
ReportConnections(ConnectionManager& aConnections, NowHook aNow)
{
  return [&aConnections, now = std::move(aNow)](const GroupId& aGroup,
                                                v1::ShowGroupReply& aReply) {
    const PoolReport report = aConnections.Report(aGroup);
    const std::uint32_t usable = report.mAllowance.At(now());
    aReply.set_allowance_floor(report.mAllowance.mFloor);
    aReply.set_allowance_leased(usable - report.mAllowance.mFloor);
    aReply.set_connections_in_use(report.mInUse);
    aReply.set_queue_depth(static_cast<std::uint32_t>(report.mWaiting));
  };
}

} // namespace papayaspindle
