#pragma once

#include "core/timetypes.h"
#include "proxy/tables/tablechanges.h"

#include <cstdint>
#include <functional>
#include <optional>
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

/** Asks another instance for rows; nothing is answered where it can't be reached. */
using AskReaderHook =
  std::function<void(const std::string& aInstance,
                     const RelayRequest&,
                     Duration aTimeout,
                     TimePoint,
                     std::function<void(const std::optional<RelayAnswer>&)>)>;

} // namespace papayaspindle::proxy
