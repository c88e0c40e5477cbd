#pragma once

#include "core/groupsettings.h"
#include "core/ids.h"

#include <cstdint>
#include <vector>

namespace papayaspindle {

/** An operator's request to create or change a group. */
struct ChangeRequest
{
  GroupSettings mSettings;
  /** Revision that the group must have; 0 for a group that must not exist. */
  std::uint64_t mExpectedRevision = 0;
  RequestId mRequest;
};

/** An accepted change: one entry of the change log. */
struct ConfigurationChange
{
  /** Number of the change in the log, from 1 and without gaps. */
  std::uint64_t mRevision = 0;
  RequestId mRequest;
  /** Complete settings of the group after the change. */
  GroupSettings mSettings;
  /** Wall clock time of the committing instance in ms; for metrics only. */
  std::uint64_t mAcceptedUnixMs = 0;

  bool operator==(const ConfigurationChange&) const = default;
};

/** Settings of all groups at one revision. */
struct ConfigurationSnapshot
{
  std::uint64_t mRevision = 0;
  std::vector<GroupSettings> mGroups;
};

} // namespace papayaspindle
