#pragma once

#include "core/ids.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace papayaspindle {

/** Settings of one member of a database group, as configured by operators. */
struct MemberSettings
{
  MemberId mMember;
  /** "ip:port" of the backend server. */
  std::string mAddress;
  AvailabilityZone mAvailabilityZone;
  /** Whether the member is leaving; it then gets no new work. */
  bool mLeaving = false;

  bool operator==(const MemberSettings&) const = default;
};

/** A named limit for the age of the data that a read may return. */
struct StalenessRule
{
  std::string mName;
  std::chrono::milliseconds mMaxStaleness{};

  bool operator==(const StalenessRule&) const = default;
};

/** Settings of a database group, as configured by operators. */
struct GroupSettings
{
  GroupId mGroup;
  std::vector<MemberSettings> mMembers;
  /** Number of statements that each member runs concurrently. */
  std::uint32_t mSlots = 0;
  /** Maximum number of connections from all entry instances to all members. */
  std::uint32_t mConnectionLimit = 0;
  std::vector<StalenessRule> mStalenessRules;
  /** Configuration revision of the latest change to the group; 0 if the group does not
   * exist. */
  std::uint64_t mRevision = 0;

  bool operator==(const GroupSettings&) const = default;
};

} // namespace papayaspindle
