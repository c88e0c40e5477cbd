#pragma once

#include "core/ids.h"
#include "decision/failover/failoversetup.h"
#include "decision/failover/memberstatus.h"

#include <chrono>
#include <cstdint>
#include <set>

namespace papayaspindle {

/** A home's answer to the question whether it reaches the old primary. */
struct ConfirmationReply
{
  InstanceId mHome;
  bool mReachable = false;
  std::chrono::milliseconds mSilence{};
  /** Highest term that the home knows of the group. */
  std::uint64_t mTerm = 0;
};

/**
 * Decides whether the suspicion of a primary is shared.
 *
 * A home in another zone decides when there is one, because a zone may be cut off as a
 * whole. A replica without a replication link agrees too, unless such a home still
 * reaches the primary.
 */
class Confirmation
{
public:
  Confirmation(const FailoverSetup& aSetup, const FailoverSettings& aSettings);

  void OnReply(const ConfirmationReply& aReply);
  void OnStatus(const MemberStatus& aStatus);

  /** @return whether the failover's reason needs agreement */
  [[nodiscard]] bool IsNeeded() const;
  /** @return whether the failover may start, as far as agreement is concerned */
  [[nodiscard]] bool IsAgreed() const;
  /** @return whether a majority of the members answered */
  [[nodiscard]] bool MajorityAnswers() const;

private:
  [[nodiscard]] bool MayDecide(const InstanceId& aHome) const;

  FailoverSetup mSetup;
  std::chrono::milliseconds mSilence;
  std::set<InstanceId> mAgreeing;
  std::set<InstanceId> mReaching;
  std::set<MemberId> mReplicasWithoutLink;
  std::set<MemberId> mAnswering;
};

} // namespace papayaspindle
