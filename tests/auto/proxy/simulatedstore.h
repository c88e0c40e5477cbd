#pragma once

#include "core/timetypes.h"
#include "proxy/rowstore.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace papayaspindle::proxy {

/** One table of a store with conditional writes. */
class SimulatedStore
{
public:
  TableSnapshot Snapshot(TimePoint aNow) const
  {
    TableSnapshot snapshot;
    snapshot.mStoreTimeMs =
      static_cast<std::uint64_t>(aNow.time_since_epoch() / std::chrono::milliseconds(1));
    snapshot.mRevision = mRevision;
    for (const auto& [key, row] : mRows) {
      snapshot.mRows.push_back(row);
    }
    return snapshot;
  }

  WriteResult Write(const ConditionalWrite& aWrite)
  {
    StoredRow& row = mRows[aWrite.mRow.mKey];
    if (row.mRevision != aWrite.mRow.mRevision) {
      return RowConflict{};
    }
    row = aWrite.mRow;
    row.mRevision = ++mRevision;
    return Written{ mRevision, 0 };
  }

private:
  std::map<std::string, StoredRow> mRows;
  std::uint64_t mRevision = 0;
};

} // namespace papayaspindle::proxy
