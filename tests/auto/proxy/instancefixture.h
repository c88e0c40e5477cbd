#pragma once

#include "proxy/hometable.h"
#include "proxy/instanceregistry.h"

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
      for (const auto& [key, row] : mRows) {
        snapshot.mRows.push_back(row);
      }
      aHook(snapshot);
    };
    store.mWrite = [this](const ConditionalWrite& aWrite,
                          std::function<void(const WriteResult&)> aHook) {
      StoredRow& row = mRows[aWrite.mRow.mKey];
      if (mIsUnavailable || row.mRevision != aWrite.mRow.mRevision) {
        aHook(mIsUnavailable ? WriteResult(StoreFailure::NoAnswer)
                             : WriteResult(RowConflict{}));
        return;
      }
      row = aWrite.mRow;
      row.mRevision = ++mRevision;
      aHook(Written{ row.mRevision, 0 });
    };
    return store;
  }
};

} // namespace papayaspindle::proxy
