#pragma once

#include "proxy/hometable.h"
#include "proxy/instanceregistry.h"

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace papayaspindle::proxy {

inline std::vector<RegisteredInstance>
MakeInstances(std::size_t aCount)
{
  std::vector<RegisteredInstance> instances;
  for (std::size_t index = 0; index < aCount; index++) {
    const std::string number = std::to_string(index);
    instances.push_back({ "i" + number,
                          "zone-" + std::to_string(index % 3),
                          "10.0.0." + number + ":7441",
                          1,
                          false });
  }
  return instances;
}

/** In-memory table that the registry under test shares with a second writer. */
struct FakeTable
{
  std::map<std::string, StoredRow> mRows;
  std::uint64_t mRevision = 0;
  bool mIsUnavailable = false;
  std::size_t mReads = 0;
  std::uint64_t mStoreTimeMs = 0;
  std::uint64_t mIncarnation = 0;
  /** Writes that took effect, by key. */
  std::map<std::string, std::size_t> mWrites;

  /** Returns to an earlier state, with its revisions. */
  void Return(const std::map<std::string, StoredRow>& aRows)
  {
    mRows = aRows;
    mRevision = 0;
    for (const auto& [key, row] : mRows) {
      mRevision = std::max(mRevision, row.mRevision);
    }
    mIncarnation++;
  }

  SharedStore Store()
  {
    SharedStore store;
    store.mRead = [this](std::string_view, std::function<void(const ReadResult&)> aHook) {
      mReads++;
      if (mIsUnavailable) {
        aHook(StoreFailure::NoAnswer);
        return;
      }
      TableSnapshot snapshot;
      snapshot.mStoreTimeMs = mStoreTimeMs;
      snapshot.mIncarnation = mIncarnation;
      for (const auto& [key, row] : mRows) {
        snapshot.mRows.push_back(row);
        snapshot.mRows.back().mIncarnation = mIncarnation;
      }
      aHook(snapshot);
    };
    store.mWrite = [this](const ConditionalWrite& aWrite,
                          std::function<void(const WriteResult&)> aHook) {
      StoredRow& row = mRows[aWrite.mRow.mKey];
      if (mIsUnavailable || aWrite.mRow.mIncarnation != mIncarnation ||
          row.mRevision != aWrite.mRow.mRevision) {
        aHook(mIsUnavailable ? WriteResult(StoreFailure::NoAnswer)
                             : WriteResult(RowConflict{}));
        return;
      }
      row = aWrite.mRow;
      row.mRevision = ++mRevision;
      mWrites[row.mKey]++;
      aHook(Written{ row.mRevision, mStoreTimeMs, mIncarnation });
    };
    return store;
  }
};

} // namespace papayaspindle::proxy
