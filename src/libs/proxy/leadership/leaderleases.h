#pragma once

#include "core/timetypes.h"
#include "proxy/memberstatus.h"
#include "proxy/rowstore.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace papayaspindle::proxy {

/** Who ends the lead of a member that is replaced. */
enum class LeadEndedBy : std::uint8_t
{
  /** The platform, at the moment of the promotion. */
  Platform,
  /** Nobody: the old leader goes on until it is told or meets the new one. */
  Instances,
};

/**
 * Permissions to take answers of a group's leader for those of the only leader.
 *
 * Where a replaced leader goes on, an instance may acknowledge its commits and read from
 * it only with a permission. A permission ends by itself, kLeaderLease after the proof it
 * rests on was asked for. Proofs are a read of the store without a newer claim, and,
 * while the last permission has not ended, a follower that isn't paused. An instance that
 * promotes a member writes its claim first, pauses the followers, and waits until every
 * permission that was given before has ended (LeadershipTransfer).
 *
 * A chain of followers' proofs can't cross a pause of kLeaderLease of all followers: each
 * proof is asked for within kLeaderLease of the one before.
 *
 * Times are on a clock that counts suspension. Single-threaded.
 */
class LeaderLeases
{
public:
  explicit LeaderLeases(LeadEndedBy aEndedBy);

  /** Takes the rows of the coordination table that have changed, or all of them. */
  void OnRows(std::span<const StoredRow> aRows);
  /** The rows that were taken were read by a request sent at this time. */
  void OnStoreRead(TimePoint aSentAt);
  /** The rows that were taken were the newest at about this time; counts for followers'
   * proofs only. */
  void OnStoreContact(TimePoint aAt);
  /**
   * Takes the status of a follower.
   *
   * @param aAskedAt time before it was asked
   * @param aNow read after the answer was received
   */
  void OnFollowerStatus(std::string_view aGroup,
                        const MemberStatus& aStatus,
                        TimePoint aAskedAt,
                        TimePoint aNow);

  /** @return whether permissions are needed at all */
  [[nodiscard]] bool AreNeeded() const { return mEndedBy == LeadEndedBy::Instances; }
  /** @return whether answers of the member are those of the group's only leader */
  [[nodiscard]] bool Permits(std::string_view aGroup,
                             std::string_view aMember,
                             TimePoint aNow) const;
  /** @return the member that the newest row names; empty while a claim is under way;
   * nothing where no row says who leads */
  [[nodiscard]] std::optional<std::string> Leader(std::string_view aGroup) const;
  /** @return when the permission for the group's leader ends */
  [[nodiscard]] TimePoint EndOf(std::string_view aGroup) const;
  /** @return until when followers' proofs count */
  [[nodiscard]] TimePoint FollowersCountUntil() const;

private:
  struct Lease
  {
    std::uint64_t mRevision = 0;
    /** As Leader() returns it. */
    std::optional<std::string> mLeader;
    /** End of the permission by followers' proofs. */
    TimePoint mFollowersUntil;
  };

  LeadEndedBy mEndedBy;
  /** Rows were taken. */
  bool mHasRows = false;
  /** When the rows were last asked for. */
  TimePoint mStoreReadAt;
  /** When the store last said that the rows are the newest. */
  TimePoint mStoreContactAt;
  std::map<std::string, Lease, std::less<>> mLeases;
};

} // namespace papayaspindle::proxy
