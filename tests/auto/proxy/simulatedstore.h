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
  /** A state to which the store can return. */
  struct State
  {
    std::map<std::string, StoredRow> mRows;
    std::uint64_t mRevision = 0;
  };

  [[nodiscard]] State Copy() const { return { mRows, mRevision }; }

  /** Returns to a copy, in the next incarnation. */
  void Return(const State& aCopy)
  {
    mRows = aCopy.mRows;
    mRevision = aCopy.mRevision;
    mIncarnation++;
  }

  [[nodiscard]] std::uint64_t Incarnation() const { return mIncarnation; }

  TableSnapshot Snapshot(TimePoint aNow) const
  {
    TableSnapshot snapshot;
    snapshot.mStoreTimeMs =
      static_cast<std::uint64_t>(aNow.time_since_epoch() / std::chrono::milliseconds(1));
    snapshot.mRevision = mRevision;
    for (const auto& [key, row] : mRows) {
      snapshot.mRows.push_back(row);
      snapshot.mRows.back().mIncarnation = mIncarnation;
    }
    snapshot.mIncarnation = mIncarnation;
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
    return Written{ mRevision, 0, mIncarnation };
  }

private:
  std::map<std::string, StoredRow> mRows;
  std::uint64_t mRevision = 0;
  /** 0 until the first return. */
  std::uint64_t mIncarnation = 0;
};

} // namespace papayaspindle::proxy
