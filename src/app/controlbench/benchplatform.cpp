#include "controlbench/benchplatform.h"

#include "peer.pb.h"

#include <string_view>

namespace papayaspindle {

namespace {

constexpr std::string_view kChangePrefix = "change/";

} // namespace

template<typename Request, typename Reply>
Reply
BenchPlatform::Count(const Request& aRequest, Reply aReply)
{
  mBytes += aRequest.ByteSizeLong() + aReply.ByteSizeLong();
  return aReply;
}

Result<v1::TableReadReply>
BenchPlatform::Read(const v1::TableReadRequest& aRequest,
                    std::chrono::milliseconds /*aTimeout*/)
{
  const std::lock_guard lock(mMutex);
  v1::TableReadReply reply;
  const auto row = mRows.find(aRequest.key());
  if (row != mRows.end()) {
    *reply.mutable_row() = row->second;
  }
  return Count(aRequest, std::move(reply));
}

Result<v1::TableScanReply>
BenchPlatform::Scan(const v1::TableScanRequest& aRequest,
                    std::chrono::milliseconds /*aTimeout*/)
{
  const std::lock_guard lock(mMutex);
  v1::TableScanReply reply;
  for (auto row = mRows.lower_bound(aRequest.from_key());
       row != mRows.end() && row->first < aRequest.to_key();
       ++row) {
    if (reply.rows_size() == static_cast<int>(aRequest.limit())) {
      reply.set_more(true);
      break;
    }
    *reply.add_rows() = row->second;
  }
  return Count(aRequest, std::move(reply));
}

Result<v1::TransactReply>
BenchPlatform::Transact(const v1::TransactRequest& aRequest,
                        std::chrono::milliseconds /*aTimeout*/)
{
  const std::lock_guard lock(mMutex);
  v1::TransactReply reply;
  for (const v1::RowCondition& condition : aRequest.conditions()) {
    const auto row = mRows.find(condition.key());
    const std::uint64_t version = row == mRows.end() ? 0 : row->second.version();
    if (version != condition.version()) {
      return Count(aRequest, std::move(reply));
    }
  }
  for (const v1::RowChange& change : aRequest.changes()) {
    v1::TableRow& row = mRows[change.key()];
    row.set_table(change.table());
    row.set_key(change.key());
    row.set_value(change.value());
    row.set_version(row.version() + 1);
  }
  NoteAccepted(aRequest);
  reply.set_committed(true);
  return Count(aRequest, std::move(reply));
}

void
BenchPlatform::NoteAccepted(const v1::TransactRequest& aRequest)
{
  for (const v1::RowChange& change : aRequest.changes()) {
    v1::ConfigurationChange accepted;
    if (change.key().starts_with(kChangePrefix) &&
        accepted.ParseFromString(change.value())) {
      mAccepted[accepted.revision()] = Clock::now();
    }
  }
}

Result<v1::PutObjectReply>
BenchPlatform::Put(const v1::PutObjectRequest& aRequest,
                   std::chrono::milliseconds /*aTimeout*/)
{
  const std::lock_guard lock(mMutex);
  mObjects[aRequest.name()] = aRequest.content();
  return Count(aRequest, v1::PutObjectReply());
}

Result<v1::FetchObjectReply>
BenchPlatform::Fetch(const v1::FetchObjectRequest& aRequest,
                     std::chrono::milliseconds /*aTimeout*/)
{
  const std::lock_guard lock(mMutex);
  v1::FetchObjectReply reply;
  const auto object = mObjects.find(aRequest.name());
  if (object != mObjects.end()) {
    reply.set_found(true);
    reply.set_content(object->second);
  }
  return Count(aRequest, std::move(reply));
}

Result<v1::ListObjectsReply>
BenchPlatform::List(const v1::ListObjectsRequest& aRequest,
                    std::chrono::milliseconds /*aTimeout*/)
{
  const std::lock_guard lock(mMutex);
  v1::ListObjectsReply reply;
  for (const auto& [name, content] : mObjects) {
    if (name.starts_with(aRequest.prefix())) {
      reply.add_names(name);
    }
  }
  return Count(aRequest, std::move(reply));
}

Result<v1::ListInstancesReply>
BenchPlatform::List(std::chrono::milliseconds /*aTimeout*/)
{
  const std::lock_guard lock(mMutex);
  return Count(v1::ListInstancesRequest(), mInstances);
}

void
BenchPlatform::SetRow(const std::string& aKey, const std::string& aValue)
{
  const std::lock_guard lock(mMutex);
  v1::TableRow& row = mRows[aKey];
  row.set_key(aKey);
  row.set_value(aValue);
  row.set_version(1);
}

void
BenchPlatform::AddInstance(const v1::ListedInstance& aInstance)
{
  const std::lock_guard lock(mMutex);
  *mInstances.add_instances() = aInstance;
}

std::optional<TimePoint>
BenchPlatform::AcceptedAt(std::uint64_t aRevision) const
{
  const std::lock_guard lock(mMutex);
  const auto accepted = mAccepted.find(aRevision);
  return accepted == mAccepted.end() ? std::nullopt : std::optional(accepted->second);
}

} // namespace papayaspindle
