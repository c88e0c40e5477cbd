#pragma once

#include "core/timetypes.h"
#include "proxy/tables/tablechanges.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace papayaspindle::proxy {

/** Request of an instance to a reader of its zone for the changes of a table. */
struct RelayRequest
{
  std::string mTable;
  /** Revision of the requester's copy of the table; 0 if it has none. */
  std::uint64_t mSinceRevision = 0;
  /** How long the reader may hold the request until there is a change. */
  Duration mMaxWait{};
  /** The reader has to read the whole table from the store for this request. */
  bool mNeedsRead = false;
  /** Newest incarnation of the store that the requester knows; 0 if it knows none. */
  std::uint64_t mIncarnation = 0;
  /** Incarnation of the store that mSinceRevision refers to; 0 if it is unknown. */
  std::uint64_t mSinceIncarnation = 0;
};

/** Answer of a reader to a RelayRequest. */
struct RelayAnswer
{
  /** The reader doesn't follow the table, can't reach the store or has reached its limit
   * of queued answers. */
  bool mIsRefused = false;
  /** mRows contains all rows of the table instead of the changes. */
  bool mIsFull = false;
  /** The rows were read from the store after the request had arrived. */
  bool mIsRead = false;
  std::vector<ChangedRow> mRows;
  /** Revision of the reader's copy of the table. */
  std::uint64_t mRevision = 0;
  /** Time since the reader's copy was known to be the newest. */
  Duration mAge{};
  /** How long the reader held the request. */
  Duration mHoldTime{};
  /** Incarnation of the store that the reader's copy was read from. */
  std::uint64_t mIncarnation = 0;

  /** @return the revision of the reader's copy with its incarnation */
  [[nodiscard]] StoreRevision Version() const { return { mIncarnation, mRevision }; }
};

/** Sends a request to a reader; the result is empty if the reader did not answer. */
using QueryReaderHook =
  std::function<void(const std::string& aInstance,
                     const RelayRequest&,
                     Duration aTimeout,
                     TimePoint,
                     std::function<void(const std::optional<RelayAnswer>&)>)>;

} // namespace papayaspindle::proxy
