#pragma once

#include "backend.pb.h"
#include "core/error.h"
#include "core/ids.h"
#include "core/timetypes.h"

#include <chrono>
#include <map>
#include <string>
#include <vector>

namespace papayaspindle::experiment {

/** Addresses of the members of each group. */
using MemberAddresses = std::map<GroupId, std::vector<std::string>>;

/**
 * Reads the whole log of each group's primary from the stand-ins.
 *
 * @param aPatience how long to wait for a group that has no primary
 * @return the logs; NoPrimary naming the group that has none
 */
Result<std::map<GroupId, std::vector<v1::LogEntry>>> ReadPrimaryLogs(
  const MemberAddresses& aMembers,
  std::chrono::milliseconds aPatience);

} // namespace papayaspindle::experiment
