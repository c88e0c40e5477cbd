#pragma once

#include "core/ids.h"
#include "decision/failover/failoversetup.h"
#include "decision/failover/memberstatus.h"

#include <chrono>
#include <cstdint>
#include <set>

namespace papayaspindle {

/** Another home's report on whether it reaches the old primary. */
struct ConfirmationReply
{
  InstanceId mHome;
  bool mReachable = false;
  /** Time since the primary last answered the home. */
  std::chrono::milliseconds mSilence{};
  /** Term of the home's view of the group. */
  std::uint64_t mTerm = 0;
};

/**
 * Decides whether the suspicion of a primary is confirmed by others.
 *
 * If there are homes in other availability zones, only their replies count, because a
 * zone may be cut off as a whole. A replica that has lost its replication link to the
 * primary confirms the suspicion too, unless a home whose reply counts still reaches the
 * primary.
 */
class Confirmation
{
public:
  Confirmation(const FailoverSetup& aSetup, const FailoverSettings& aSettings);

  void OnReply(const ConfirmationReply& aReply);
  void OnStatus(const MemberStatus& aStatus);

  /** @return whether a failover for this reason needs confirmation */
  [[nodiscard]] bool IsNeeded() const;
  /** @return whether the suspicion is confirmed or needs no confirmation */
  [[nodiscard]] bool IsConfirmed() const;
  /** @return whether a majority of the members has answered a status request */
  [[nodiscard]] bool HasMajorityAnswered() const;

private:
  /** @return whether the home's reply counts */
  [[nodiscard]] bool IsDecisive(const InstanceId& aHome) const;

  FailoverSetup mSetup;
  std::chrono::milliseconds mRequiredSilence;
  std::set<InstanceId> mConfirmingHomes;
  std::set<InstanceId> mRefutingHomes;
  std::set<MemberId> mReplicasWithoutLink;
  std::set<MemberId> mAnsweringMembers;
};

} // namespace papayaspindle
