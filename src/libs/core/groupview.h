#pragma once

#include "core/ids.h"

#include <cstdint>

namespace papayaspindle {

/** Who leads a database group. The view with the higher term replaces the other. */
struct GroupView
{
  GroupId mGroup;
  /** 0 before any term is known. */
  std::uint64_t mTerm = 0;
  /** Empty while the term has no primary that a majority confirmed. */
  MemberId mPrimary;

  bool operator==(const GroupView&) const = default;
};

} // namespace papayaspindle
