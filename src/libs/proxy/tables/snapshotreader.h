#pragma once

#include "core/timetypes.h"
#include "proxy/tables/relaymessages.h"
#include "proxy/tables/tablecopy.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace papayaspindle::proxy {

struct SnapshotReaderHooks
{
  /** Reads the whole table from the store. */
  std::function<void(TimePoint, std::function<void(const ReadResult&)>)> mRead;
  AskReaderHook mAsk;
  /** @return instances to ask, the preferred one first; none where this instance reads
   * the store itself */
  std::function<std::vector<std::string>()> mReaders;
};

/** Reads a table now and then, from a reader of the zone where there is one: for tables
 * that change too often to be followed. */
class SnapshotReader
{
public:
  SnapshotReader(std::string aTable, SnapshotReaderHooks aHooks);

  void Read(TimePoint aNow, std::function<void(const ReadResult&)> aHook);

  [[nodiscard]] const std::string& Table() const { return mTable; }
  [[nodiscard]] const TableCopy& Copy() const { return mCopy; }
  /** @return when the table was last read from the store itself; nothing where it wasn't
   */
  [[nodiscard]] std::optional<TimePoint> ReadAsOf() const { return mReadAsOf; }

private:
  using ResultHook = std::function<void(const ReadResult&)>;

  void Ask(std::vector<std::string> aReaders, TimePoint aNow, const ResultHook& aHook);
  void ReadStore(TimePoint aNow, const ResultHook& aHook);
  [[nodiscard]] ReadResult Snapshot() const;

  std::string mTable;
  SnapshotReaderHooks mHooks;
  TableCopy mCopy;
  std::optional<TimePoint> mReadAsOf;
};

} // namespace papayaspindle::proxy
