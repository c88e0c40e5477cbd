#pragma once

#include "backend.pb.h"
#include "core/groupsettings.h"
#include "decision/routing/freshnesstable.h"
#include "decision/routing/readchooser.h"
#include "decision/write/memberreport.h"

#include <map>
#include <mutex>
#include <optional>
#include <vector>

namespace papayaspindle {

/**
 * The freshness tables of all groups that this instance is a home of.
 *
 * Thread-safe. Lock order: its lock is taken after that of ReplicationWatch and before
 * that of MemberLoads.
 */
class FreshnessBoard
{
public:
  /**
   * Takes a member's status reply.
   *
   * @param aMember whom the request went to; a reply in another name is dropped
   * @param aAskedAt from before the request was sent
   */
  void OnStatus(const GroupId& aGroup,
                const MemberId& aMember,
                const v1::StatusReply& aReply,
                TimePoint aAskedAt);
  /** Takes what a member's answer to a statement says. */
  void OnAnswer(const GroupId& aGroup, const MemberProgress& aAnswer);
  /** Notes how long a replica took to apply a position after the primary answered. */
  void OnCatchUp(const GroupId& aGroup,
                 const MemberId& aMember,
                 Duration aTook,
                 TimePoint aNow);

  /** @return the chooser's action for the group of the question */
  [[nodiscard]] ReadAction Choose(const ReadChooser& aChooser,
                                  const ReadRequest& aQuestion);
  /**
   * @param aApplied position that the member had applied when it answered in aTerm
   * @return the time as of which the answer has every acknowledged write
   */
  [[nodiscard]] std::optional<TimePoint> ProvenAsOf(const GroupSettings& aGroup,
                                                    const LogPosition& aApplied,
                                                    std::uint64_t aTerm);
  /** @return the last report of each member */
  [[nodiscard]] std::vector<MemberReport> Reports(const GroupId& aGroup) const;
  /** @return the member's last known progress, or nothing before its first report */
  [[nodiscard]] std::optional<MemberProgress> ProgressOf(const GroupId& aGroup,
                                                         const MemberId& aMember) const;
  /** @return the age that is proven of the member in that term */
  [[nodiscard]] std::optional<Duration> ProvenAge(const GroupSettings& aGroup,
                                                  const MemberId& aMember,
                                                  std::uint64_t aTerm,
                                                  TimePoint aNow) const;

private:
  mutable std::mutex mMutex;
  std::map<GroupId, FreshnessTable> mTables;
};

} // namespace papayaspindle
