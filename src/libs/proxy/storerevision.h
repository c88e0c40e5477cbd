#pragma once

#include <compare>
#include <cstdint>

namespace papayaspindle::proxy {

/**
 * A revision of the store.
 *
 * After a return to an older state, the store gives out revisions again. Revisions are
 * therefore ordered by the incarnation of the store first, which increases with each
 * return.
 */
struct StoreRevision
{
  /** 0 if the store doesn't announce its incarnation, or if it is unknown. */
  std::uint64_t mIncarnation = 0;
  std::uint64_t mRevision = 0;

  friend auto operator<=>(const StoreRevision&, const StoreRevision&) = default;
};

} // namespace papayaspindle::proxy
