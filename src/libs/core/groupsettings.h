#pragma once

#include "core/ids.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace papayaspindle {

/** One member of a database group, as operators set it. */
struct MemberSettings
{
  MemberId mMember;
  /** "ip:port" of the backend server. */
  std::string mAddress;
  AvailabilityZone mAvailabilityZone;
  /** A leaving member gets no new work. */
  bool mLeaving = false;

  bool operator==(const MemberSettings&) const = default;
};

/** A named limit for the age of data that a read accepts. */
struct StalenessRule
{
  std::string mName;
  std::chrono::milliseconds mMaxStaleness{};

  bool operator==(const StalenessRule&) const = default;
};

/** A database group, as operators set it. */
struct GroupSettings
{
  GroupId mGroup;
  std::vector<MemberSettings> mMembers;
  /** Statements that a member runs at once. */
  std::uint32_t mSlots = 0;
  /** Connections of all entry instances to all members. */
  std::uint32_t mConnectionLimit = 0;
  std::vector<StalenessRule> mStalenessRules;
  /** Configuration revision of the last change to this group; 0 before it exists. */
  std::uint64_t mRevision = 0;

  bool operator==(const GroupSettings&) const = default;
};

} // namespace papayaspindle
