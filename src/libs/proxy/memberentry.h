#pragma once

#include "proxy/storerevision.h"

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
  /** Number of the report since the start of the member's process; 0 if it is unknown. */
  std::uint64_t mSequence = 0;
  /** Revision of the directory row; comparable across all members of an incarnation. */
  std::uint64_t mRevision = 0;
  /** Incarnation of the store in which the row was read. */
  std::uint64_t mIncarnation = 0;

  /** @return the revision with its incarnation */
  [[nodiscard]] StoreRevision Version() const { return { mIncarnation, mRevision }; }

  bool operator==(const MemberEntry&) const = default;
};

} // namespace papayaspindle::proxy
