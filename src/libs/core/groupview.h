#pragma once

#include "core/ids.h"

#include <cstdint>

namespace papayaspindle {

/** Term and primary of a database group. A view of a higher term replaces a lower one. */
struct GroupView
{
  GroupId mGroup;
  /** Term of the group; 0 if no term is known. */
  std::uint64_t mTerm = 0;
  /** Primary of the term; empty until a majority of the members has confirmed it. */
  MemberId mPrimary;

  bool operator==(const GroupView&) const = default;
};

} // namespace papayaspindle
