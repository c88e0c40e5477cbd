#pragma once

#include "core/timetypes.h"
#include "interfaces/instancelisting.h"
#include "interfaces/objectstorage.h"
#include "interfaces/tablestore.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>

namespace papayaspindle {

/** The platform's services in memory; counts the bytes of their messages. Thread-safe. */
class BenchPlatform
  : public TableStore
  , public ObjectStorage
  , public InstanceListing
{
public:
  Result<v1::TableReadReply> Read(const v1::TableReadRequest& aRequest,
                                  std::chrono::milliseconds aTimeout) override;
  Result<v1::TableScanReply> Scan(const v1::TableScanRequest& aRequest,
                                  std::chrono::milliseconds aTimeout) override;
  Result<v1::TransactReply> Transact(const v1::TransactRequest& aRequest,
                                     std::chrono::milliseconds aTimeout) override;
  Result<v1::PutObjectReply> Put(const v1::PutObjectRequest& aRequest,
                                 std::chrono::milliseconds aTimeout) override;
  Result<v1::FetchObjectReply> Fetch(const v1::FetchObjectRequest& aRequest,
                                     std::chrono::milliseconds aTimeout) override;
  using InstanceListing::List;
  Result<v1::ListObjectsReply> List(const v1::ListObjectsRequest& aRequest,
                                    std::chrono::milliseconds aTimeout) override;
  Result<v1::ListInstancesReply> List(std::chrono::milliseconds aTimeout) override;

  /** Sets a row, as left by earlier changes. */
  void SetRow(const std::string& aKey, const std::string& aValue);
  void AddInstance(const v1::ListedInstance& aInstance);
  /** @return when the table service took the change of this revision */
  [[nodiscard]] std::optional<TimePoint> AcceptedAt(std::uint64_t aRevision) const;
  /** @return bytes of all requests and replies so far */
  [[nodiscard]] std::uint64_t Bytes() const { return mBytes; }

private:
  template<typename Request, typename Reply>
  Reply Count(const Request& aRequest, Reply aReply);
  void NoteAccepted(const v1::TransactRequest& aRequest);

  mutable std::mutex mMutex;
  std::map<std::string, v1::TableRow> mRows;
  std::map<std::string, std::string> mObjects;
  std::map<std::uint64_t, TimePoint> mAccepted;
  v1::ListInstancesReply mInstances;
  std::atomic<std::uint64_t> mBytes = 0;
};

} // namespace papayaspindle
