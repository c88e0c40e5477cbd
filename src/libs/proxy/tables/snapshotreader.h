#pragma once

#include "core/timetypes.h"
#include "proxy/tables/relaymessages.h"
#include "proxy/tables/tablecopy.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace papayaspindle::proxy {

/** Functions that a snapshot reader depends on. */
struct SnapshotReaderHooks
{
  /** Reads the whole table from the store. */
  std::function<void(TimePoint, std::function<void(const ReadResult&)>)> mRead;
  QueryReaderHook mQueryReader;
  /** @return the readers to query, the preferred one first; empty if this instance reads
   * the store itself */
  std::function<std::vector<std::string>()> mReaders;
  /** @return newest known incarnation of the store; 0 if it announces none */
  std::function<std::uint64_t()> mIncarnation = [] { return 0; };
  /** Called when a reader knows a newer incarnation of the store. May be empty. */
  std::function<void(std::uint64_t aIncarnation)> mOnIncarnation;
};

/** Reads a whole table on request, from a reader of the zone if there is one. Used for
 * tables that change too often to be followed. */
class SnapshotReader
{
public:
  SnapshotReader(std::string aTable, SnapshotReaderHooks aHooks);

  void Read(TimePoint aNow, std::function<void(const ReadResult&)> aHook);

  [[nodiscard]] const std::string& Table() const { return mTable; }
  [[nodiscard]] const TableCopy& Copy() const { return mCopy; }
  /** @return when the table was read from the store; nothing if the last read was
   * answered by a reader or has failed */
  [[nodiscard]] std::optional<TimePoint> ReadAsOf() const { return mReadAsOf; }

private:
  using ResultHook = std::function<void(const ReadResult&)>;

  void QueryReader(std::vector<std::string> aReaders,
                   TimePoint aNow,
                   const ResultHook& aHook);
  void ReadStore(TimePoint aNow, const ResultHook& aHook);
  /** Replaces the rows of the copy and keeps what has changed in them. */
  void UpdateCopy(const TableSnapshot& aSnapshot);
  [[nodiscard]] ReadResult Snapshot(Duration aAge) const;

  std::string mTable;
  SnapshotReaderHooks mHooks;
  TableCopy mCopy;
  std::optional<TimePoint> mReadAsOf;
};

} // namespace papayaspindle::proxy
