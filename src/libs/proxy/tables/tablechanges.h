#pragma once

#include "proxy/rowstore.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace papayaspindle::proxy {

/** A changed row of a table. */
struct ChangedRow
{
  StoredRow mRow;
  bool mIsRemoved = false;
};

/** Changes of a table, in order of their revisions. */
struct TableChanges
{
  std::vector<ChangedRow> mRows;
  /** Revision after which the next request continues. */
  std::uint64_t mRevision = 0;
  /** Reading of the store's steady clock, in milliseconds. */
  std::uint64_t mStoreTimeMs = 0;
  std::uint64_t mIncarnation = 0;
};

/** The store no longer has the requested changes. */
struct HistoryLost
{};

using FeedResult = std::variant<TableChanges, HistoryLost, StoreFailure>;

} // namespace papayaspindle::proxy
