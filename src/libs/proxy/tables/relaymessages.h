#pragma once

#include "core/timetypes.h"
#include "proxy/tables/tablechanges.h"

#include <cstdint>
#include <string>
#include <vector>

namespace papayaspindle::proxy {

/** What an instance asks a reader of its zone. */
struct RelayRequest
{
  std::string mTable;
  /** Revision up to which the asker knows the table; 0 for nothing. */
  std::uint64_t mAfter = 0;
  /** How long the reader may wait for a change. */
  Duration mWait{};
};

/** What a reader knows of a table. */
struct RelayAnswer
{
  /** The reader doesn't follow the table, or has lost the store. */
  bool mIsRefused = false;
  /** mRows are all rows, not the changes. */
  bool mIsFull = false;
  std::vector<ChangedRow> mRows;
  std::uint64_t mRevision = 0;
  /** Age of the reader's knowledge. */
  Duration mAge{};
  /** How long the reader held the request. */
  Duration mHeld{};
};

} // namespace papayaspindle::proxy
