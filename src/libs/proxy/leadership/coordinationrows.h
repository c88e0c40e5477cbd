#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace papayaspindle::proxy {

/** Table of the shared store in which instances coordinate promotions. */
inline constexpr std::string_view kCoordinationTable = "papayaspindle";

/** How far the newest change of a group's leadership has come. */
enum class LeadershipState : std::uint8_t
{
  /** The holder is about to promote a member; nobody is permitted to lead. */
  Claimed,
  /** The holder calls the platform for mLeader. */
  Calling,
  /** The platform has accepted mLeader, or a claim was withdrawn. */
  Settled,
  /** The holder may promote later, also while the store is away. */
  Reserved,
};

/** The newest tokens of a group; at most one instance has each of them, since each write
 * is conditional on the row before. */
struct LeadershipRow
{
  /** The newest token that the holder may use. The write that stores it gives the holder
   * all tokens above those of the row before. */
  std::uint64_t mToken = 0;
  std::string mHolder;
  /** Member that is replaced, or "-". */
  std::string mMember = "-";
  LeadershipState mState = LeadershipState::Claimed;
  /** Member that is permitted to lead; while claimed, one that an unanswered call may
   * still promote. "-" for none, or where it isn't known. */
  std::string mLeader = "-";
};

/** What an instance says of a group's primary while some instance doubts it. */
struct PrimaryOpinion
{
  std::string mMember;
  bool mIsAlive = false;
};

/** @return key of a group's leadership row */
std::string LeadershipKey(std::string_view aGroup);
/** @return key of an instance's opinion of a group's primary */
std::string OpinionKey(std::string_view aGroup, std::string_view aInstance);
/** @return the group whose leadership row the key names, or nothing */
std::optional<std::string_view> GroupOfLeadership(std::string_view aKey);
/** @return the group whose opinion row the key names, or nothing */
std::optional<std::string_view> GroupOfOpinion(std::string_view aKey);

std::string Encode(const LeadershipRow& aRow);
std::string Encode(const PrimaryOpinion& aRow);
/** @return the row, or nothing for other text */
std::optional<LeadershipRow> DecodeLeadership(std::string_view aText);
/** @return the row, or nothing for other text */
std::optional<PrimaryOpinion> DecodeOpinion(std::string_view aText);

} // namespace papayaspindle::proxy
