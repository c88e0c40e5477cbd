#pragma once

#include "core/timetypes.h"
#include "proxy/tables/relaymessages.h"
#include "proxy/tables/tablecopy.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace papayaspindle::proxy {

/** Identifies a request to the relay. */
using RelayKey = std::uint64_t;

/** A table that this instance follows and relays. */
struct RelaySource
{
  std::function<const TableCopy&()> mCopy;
  /** @return when the copy was known to be the newest; nothing while it isn't read from
   * the store */
  std::function<std::optional<TimePoint>()> mReadAsOf;
  /** Reads the whole table from the store. Empty if reads for other instances are not
   * supported. */
  std::function<void(TimePoint, std::function<void(const ReadResult&)>)> mRead;
};

/** Functions that a table relay depends on. */
struct TableRelayHooks
{
  /** Sends the answer to a request; called once for each request that wasn't cancelled.
   * Must not call the relay. */
  std::function<void(RelayKey, const RelayAnswer&)> mAnswer;
  /** @return size in bytes of the answers that wait to be sent */
  std::function<std::size_t()> mQueuedBytes;
  /** Called when a requester knows a newer incarnation of the store than a copy. May be
   * empty. */
  std::function<void(std::uint64_t aIncarnation)> mOnIncarnation;
};

/**
 * Answers requests of other instances from the copies of the tables that this instance
 * reads from the store.
 *
 * The size of queued answers is limited, because a large table that all instances of a
 * zone request at once would fill the memory of the reader. Requests beyond the limit are
 * refused, and the requesters read the store themselves.
 */
class TableRelay
{
public:
  explicit TableRelay(TableRelayHooks aHooks);

  /** Adds a table for which requests are answered. */
  void AddTable(const std::string& aTable, RelaySource aSource);

  /** Answers a request now, or once its table changes or its wait ends. */
  void AddRequest(RelayKey aKey, const RelayRequest& aRequest, TimePoint aNow);
  /** Drops a request whose requester no longer waits for the answer. */
  void Cancel(RelayKey aKey);
  /** Answers waiting requests after the follower of a table has received changes, or has
   * lost or regained its source. */
  void OnTableChanged(const std::string& aTable, TimePoint aNow);
  void OnTimer(TimePoint aNow);
  /** @return when OnTimer has to be called next */
  [[nodiscard]] TimePoint NextTimer() const;

private:
  struct WaitingRequest
  {
    RelayRequest mRequest;
    TimePoint mSince;
  };

  void Refuse(RelayKey aKey);
  /** Reads the table of a request that needs a read of the store, and answers it. */
  void ReadForRequest(RelayKey aKey, const RelayRequest& aRequest, TimePoint aNow);
  /** @return whether the request is answered */
  bool TryAnswer(RelayKey aKey, const WaitingRequest& aWaiting, TimePoint aNow);

  TableRelayHooks mHooks;
  std::map<std::string, RelaySource> mTables;
  std::map<RelayKey, WaitingRequest> mWaitingRequests;
  /** Requests for which the store is being read. */
  std::set<RelayKey> mReadRequests;
};

} // namespace papayaspindle::proxy
