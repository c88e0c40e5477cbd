#pragma once

#include "core/timetypes.h"
#include "proxy/tables/relaymessages.h"
#include "proxy/tables/tablecopy.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace papayaspindle::proxy {

using RelayKey = std::uint64_t;

/** A table that this instance reads. */
struct RelaySource
{
  std::function<const TableCopy&()> mCopy;
  /** @return when the copy was the newest; nothing while it isn't read from the store */
  std::function<std::optional<TimePoint>()> mReadAsOf;
};

struct TableRelayHooks
{
  /** Answers a request; called once for each that wasn't cancelled. It must not call the
   * relay. */
  std::function<void(RelayKey, const RelayAnswer&)> mAnswer;
  /** @return bytes of answers that wait to be sent */
  std::function<std::size_t()> mQueuedBytes;
};

/**
 * Answers other instances from what this one reads from the store.
 *
 * A large table that all instances of a zone want at once would fill the memory of their
 * readers: what goes beyond a limit is refused, and its asker reads the store itself.
 */
class TableRelay
{
public:
  explicit TableRelay(TableRelayHooks aHooks);

  /** Answers for a table from now on. */
  void AddTable(const std::string& aTable, RelaySource aSource);

  void Ask(RelayKey aKey, const RelayRequest& aRequest, TimePoint aNow);
  /** The asker has gone. */
  void Cancel(RelayKey aKey);
  /** The follower of a table has changes, or has lost or regained its source. */
  void OnTable(const std::string& aTable, TimePoint aNow);
  void OnTimer(TimePoint aNow);
  /** @return when OnTimer is due */
  [[nodiscard]] TimePoint NextTimer() const;

private:
  struct Waiting
  {
    RelayRequest mRequest;
    TimePoint mSince;
  };

  void Refuse(RelayKey aKey);
  /** @return whether the request is answered */
  bool TryAnswer(RelayKey aKey, const Waiting& aWaiting, TimePoint aNow);

  TableRelayHooks mHooks;
  std::map<std::string, RelaySource> mTables;
  std::map<RelayKey, Waiting> mWaiting;
};

} // namespace papayaspindle::proxy
