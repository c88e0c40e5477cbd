#pragma once

#include "proxy/rowstore.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace papayaspindle::proxy {

/** A row of a table that has changed. */
struct ChangedRow
{
  StoredRow mRow;
  bool mIsRemoved = false;
};

/** Changes of a table in their order. */
struct TableChanges
{
  std::vector<ChangedRow> mRows;
  /** Revision to continue after. */
  std::uint64_t mRevision = 0;
  /** Steady clock of the store. */
  std::uint64_t mStoreTimeMs = 0;
};

/** The store no longer has the changes that were asked for. */
struct HistoryLost
{};

using FeedResult = std::variant<TableChanges, HistoryLost, StoreFailure>;

} // namespace papayaspindle::proxy
