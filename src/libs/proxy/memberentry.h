#pragma once

#include <cstdint>
#include <string>

namespace papayaspindle::proxy {

/** Role that a member reports for itself. */
enum class MemberRole : std::uint8_t
{
  Primary,
  Replica,
};

/** Directory entry of a member. */
struct MemberEntry
{
  std::string mId;
  std::string mGroup;
  /** IP address and port. */
  std::string mAddress;
  std::string mZone;
  /** Number of statements that the member runs concurrently. */
  std::uint32_t mSlots = 1;
  /** Whether the member leaves soon and takes no new work. */
  bool mDraining = false;
  MemberRole mRole = MemberRole::Replica;
  /** Start time of the member's process, in Unix milliseconds. */
  std::uint64_t mStartedAtMs = 0;
  /** Revision of the directory row; comparable across all members. */
  std::uint64_t mRevision = 0;

  bool operator==(const MemberEntry&) const = default;
};

} // namespace papayaspindle::proxy
