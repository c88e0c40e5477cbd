#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace papayaspindle {

/** A position in the log of a database group, ordered by term and then by index. */
struct LogPosition
{
  /** Term of the log entry; 0 before the first entry. */
  std::uint64_t mTerm = 0;
  /** Index of the entry, from 1; 0 before the first entry. */
  std::uint64_t mIndex = 0;

  auto operator<=>(const LogPosition&) const = default;
};

/** @return the position as "term/index" */
std::string ToString(const LogPosition& aPosition);

} // namespace papayaspindle
