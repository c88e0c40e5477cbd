#pragma once

#include "core/timetypes.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace papayaspindle::proxy {

/** Table of the shared store in which instances coordinate promotions. */
inline constexpr std::string_view kCoordinationTable = "papayaspindle";

/** Progress of the newest change of a group's leadership. */
enum class LeadershipState : std::uint8_t
{
  /** The holder is about to promote a member; no instance may use a leader. */
  Claimed,
  /** The holder is calling the platform to promote mLeader. */
  Calling,
  /** The platform has accepted the promotion of mLeader, or a claim was withdrawn. */
  Settled,
  /** The holder has reserved tokens, with which it can promote a member later even while
   * the store is unavailable. */
  Reserved,
};

/** The newest fencing tokens of a group and the state of its leadership. An instance
 * claims a promotion by writing this row in state Claimed with new tokens. Each token
 * belongs to at most one instance, because every write requires the revision of the row
 * that it replaces. */
struct LeadershipRow
{
  /** The newest token that the holder may use. The holder owns all tokens above mToken of
   * the previous row, up to this one. */
  std::uint64_t mToken = 0;
  std::string mHolder;
  /** Member that is replaced, or "-" for none. */
  std::string mMember = "-";
  LeadershipState mState = LeadershipState::Claimed;
  /** Member that may lead. In state Claimed, the member that an unanswered promotion call
   * may still promote. "-" if there is none or it is unknown. */
  std::string mLeader = "-";
};

/** An instance's report on a primary that some instance suspects to be down. */
struct SuspicionReport
{
  std::string mMember;
  /** Refutes the suspicion; otherwise the instance suspects the member as well. */
  bool mIsAlive = false;
};

/** Tells when a row was received in its present version; nothing if it is unknown. */
using ReceivedAtHook = std::function<std::optional<TimePoint>(std::string_view aKey)>;

/** @return key of a group's leadership row */
std::string LeadershipKey(std::string_view aGroup);
/** @return key of an instance's suspicion report on a group's primary */
std::string SuspicionReportKey(std::string_view aGroup, std::string_view aInstance);
/** @return key of the row with the members of a group that may have received acknowledged
 * commits (ReplicaRoster) */
std::string ReplicaRosterKey(std::string_view aGroup);
/** @return the group if the key is that of a leadership row, otherwise nothing */
std::optional<std::string_view> GroupOfLeadership(std::string_view aKey);
/** @return the group if the key is that of a roster, otherwise nothing */
std::optional<std::string_view> GroupOfReplicaRoster(std::string_view aKey);
/** @return the group if the key is that of a suspicion report, otherwise nothing */
std::optional<std::string_view> GroupOfSuspicionReport(std::string_view aKey);

/** @return the token that all tokens of an incarnation of the store are above, and all
 * tokens of earlier incarnations below; 0 for incarnation 0 */
std::uint64_t FirstTokenBound(std::uint64_t aIncarnation);

std::string Encode(const LeadershipRow& aRow);
std::string Encode(const SuspicionReport& aRow);
/** @return the row, or nothing if the text isn't a leadership row */
std::optional<LeadershipRow> DecodeLeadership(std::string_view aText);
/** @return the report, or nothing if the text isn't a suspicion report */
std::optional<SuspicionReport> DecodeSuspicionReport(std::string_view aText);

} // namespace papayaspindle::proxy
