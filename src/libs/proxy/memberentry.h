#pragma once

#include <cstdint>
#include <string>

namespace papayaspindle::proxy {

/** How a member sees itself. */
enum class MemberRole : std::uint8_t
{
  Primary,
  Replica,
};

/** What the directory says of a member. */
struct MemberEntry
{
  std::string mId;
  std::string mGroup;
  /** IP address and port. */
  std::string mAddress;
  std::string mZone;
  /** Statements that the member runs at once. */
  std::uint32_t mSlots = 1;
  /** Leaves soon; takes no new work. */
  bool mDraining = false;
  MemberRole mRole = MemberRole::Replica;
  /** Unix time in ms of the start of the member's process. */
  std::uint64_t mStartedAtMs = 0;
  /** Version of the directory row; orders changes of all members. */
  std::uint64_t mRevision = 0;

  bool operator==(const MemberEntry&) const = default;
};

} // namespace papayaspindle::proxy
