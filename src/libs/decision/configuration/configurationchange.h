#pragma once

#include "core/groupsettings.h"
#include "core/ids.h"

#include <cstdint>
#include <vector>

namespace papayaspindle {

/** An operator's request for a change. */
struct ChangeRequest
{
  GroupSettings mSettings;
  /** The group's revision; 0 for a group that must not exist. */
  std::uint64_t mExpectedRevision = 0;
  RequestId mRequest;
};

/** An accepted change: one entry of the change log. */
struct ConfigurationChange
{
  /** From 1, without gaps. */
  std::uint64_t mRevision = 0;
  RequestId mRequest;
  /** The whole group after the change. */
  GroupSettings mSettings;
  /** Wall clock of the instance that committed it; for metrics only. */
  std::uint64_t mAcceptedUnixMs = 0;

  bool operator==(const ConfigurationChange&) const = default;
};

/** All groups at one revision. */
struct ConfigurationSnapshot
{
  std::uint64_t mRevision = 0;
  std::vector<GroupSettings> mGroups;
};

} // namespace papayaspindle
