#pragma once

#include "decision/capacity/membersharing.h"

#include <map>
#include <string>

namespace papayaspindle::proxy {

/** What a home instance tells the other homes of a group about its members. */
struct CapacityReport
{
  std::string mHome;
  std::string mGroup;
  std::map<std::string, MemberLoadReport> mMembers;
};

} // namespace papayaspindle::proxy
