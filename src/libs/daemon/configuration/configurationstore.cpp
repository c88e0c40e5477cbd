#include "daemon/configuration/configurationstore.h"

#include "convert/convert.h"
#include "daemon/configuration/configurationmessages.h"
#include "interfaces/objectstorage.h"
#include "interfaces/tablestore.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace papayaspindle {

namespace {

constexpr const char* kTable = "configuration";
constexpr const char* kHeadKey = "head";
// Sorts after every "change/<revision>".
constexpr const char* kEndOfChanges = "change0";
constexpr const char* kSnapshotPrefix = "configuration/";
constexpr std::uint32_t kPageRows = 500;

std::string
ChangeKey(std::uint64_t aRevision)
{
  return fmt::format("change/{:020}", aRevision);
}

std::string
RequestKey(const RequestId& aRequest)
{
  return "request/" + aRequest.Text();
}

std::string
GroupKey(const GroupId& aGroup)
{
  return "group/" + aGroup.Text();
}

Error
Damaged(const std::string& aKey)
{
  return { ErrorKind::StoreUnavailable, fmt::format("the row {} is damaged", aKey) };
}

Result<v1::TableRow>
ReadRow(TableStore& aTable, const std::string& aKey, std::chrono::milliseconds aTimeout)
{
  v1::TableReadRequest request;
  request.set_table(kTable);
  request.set_key(aKey);
  const Result<v1::TableReadReply> reply = aTable.Read(request, aTimeout);
  if (!IsOk(reply)) {
    return ErrorOf(reply);
  }
  return ValueOf(reply).row();
}

void
AddCondition(const std::string& aKey,
             std::uint64_t aVersion,
             v1::TransactRequest& aRequest)
{
  v1::RowCondition* condition = aRequest.add_conditions();
  condition->set_table(kTable);
  condition->set_key(aKey);
  condition->set_version(aVersion);
}

void
AddChange(const std::string& aKey,
          const std::string& aValue,
          v1::TransactRequest& aRequest)
{
  v1::RowChange* change = aRequest.add_changes();
  change->set_table(kTable);
  change->set_key(aKey);
  change->set_value(aValue);
}

v1::TransactRequest
MakeTransaction(const TransactChange& aTransact)
{
  const ConfigurationChange& change = aTransact.mChange;
  const std::string value = ToMessage(change).SerializeAsString();
  const std::string groupKey = GroupKey(change.mSettings.mGroup);
  v1::TransactRequest request;
  AddCondition(kHeadKey, aTransact.mHeadVersion, request);
  AddCondition(RequestKey(change.mRequest), 0, request);
  AddCondition(groupKey, aTransact.mGroupVersion, request);
  AddChange(kHeadKey, std::to_string(change.mRevision), request);
  AddChange(ChangeKey(change.mRevision), value, request);
  AddChange(RequestKey(change.mRequest), value, request);
  AddChange(groupKey, ToMessage(change.mSettings).SerializeAsString(), request);
  return request;
}

} // namespace

ConfigurationStore::ConfigurationStore(TableStore& aTable, ObjectStorage& aObjects)
  : mTable(aTable)
  , mObjects(aObjects)
{
}

Result<CommitRows>
ConfigurationStore::ReadRows(const ChangeRequest& aRequest,
                             std::chrono::milliseconds aCallTimeout)
{
  CommitRows rows;
  const Result<v1::TableRow> head = ReadRow(mTable, kHeadKey, aCallTimeout);
  if (!IsOk(head)) {
    return ErrorOf(head);
  }
  rows.mHeadVersion = ValueOf(head).version();
  const std::string& text = ValueOf(head).value();
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, rows.mHeadRevision);
  if (rows.mHeadVersion != 0 && (parsed.ec != std::errc() || parsed.ptr != end)) {
    return Damaged(kHeadKey);
  }
  const std::string groupKey = GroupKey(aRequest.mSettings.mGroup);
  const Result<v1::TableRow> group = ReadRow(mTable, groupKey, aCallTimeout);
  if (!IsOk(group)) {
    return ErrorOf(group);
  }
  v1::GroupSettings settings;
  if (!settings.ParseFromString(ValueOf(group).value())) {
    return Damaged(groupKey);
  }
  rows.mGroupVersion = ValueOf(group).version();
  rows.mGroupRevision = settings.revision();
  const std::string requestKey = RequestKey(aRequest.mRequest);
  const Result<v1::TableRow> request = ReadRow(mTable, requestKey, aCallTimeout);
  if (!IsOk(request)) {
    return ErrorOf(request);
  }
  if (ValueOf(request).version() != 0) {
    v1::ConfigurationChange change;
    if (!change.ParseFromString(ValueOf(request).value())) {
      return Damaged(requestKey);
    }
    rows.mRequestRow = FromMessage(change);
  }
  return rows;
}

TransactOutcome
ConfigurationStore::Transact(const TransactChange& aTransact,
                             std::chrono::milliseconds aCallTimeout)
{
  const Result<v1::TransactReply> reply =
    mTable.Transact(MakeTransaction(aTransact), aCallTimeout);
  if (!IsOk(reply)) {
    return ErrorOf(reply).mKind == ErrorKind::StoreUnavailable ? TransactOutcome::NotRun
                                                               : TransactOutcome::Unknown;
  }
  return ValueOf(reply).committed() ? TransactOutcome::Committed
                                    : TransactOutcome::Conflict;
}

Result<ChangeLogPage>
ConfigurationStore::ReadLog(std::uint64_t aAfterRevision,
                            std::chrono::milliseconds aCallTimeout)
{
  v1::TableScanRequest request;
  request.set_table(kTable);
  request.set_from_key(ChangeKey(aAfterRevision + 1));
  request.set_to_key(kEndOfChanges);
  request.set_limit(kPageRows);
  const Result<v1::TableScanReply> reply = mTable.Scan(request, aCallTimeout);
  if (!IsOk(reply)) {
    return ErrorOf(reply);
  }
  ChangeLogPage page;
  page.mMore = ValueOf(reply).more();
  for (const v1::TableRow& row : ValueOf(reply).rows()) {
    v1::ConfigurationChange change;
    if (!change.ParseFromString(row.value())) {
      return Damaged(row.key());
    }
    page.mChanges.push_back(FromMessage(change));
  }
  return page;
}

Result<ConfigurationSnapshot>
ConfigurationStore::ReadSnapshot(std::chrono::milliseconds aCallTimeout)
{
  v1::ListObjectsRequest list;
  list.set_prefix(kSnapshotPrefix);
  const Result<v1::ListObjectsReply> names = mObjects.List(list, aCallTimeout);
  if (!IsOk(names)) {
    return ErrorOf(names);
  }
  const auto& found = ValueOf(names).names();
  const auto latest = std::max_element(found.begin(), found.end());
  if (latest == found.end()) {
    return ConfigurationSnapshot();
  }
  v1::FetchObjectRequest fetch;
  fetch.set_name(*latest);
  const Result<v1::FetchObjectReply> object = mObjects.Fetch(fetch, aCallTimeout);
  if (!IsOk(object)) {
    return ErrorOf(object);
  }
  v1::ConfigurationSnapshot snapshot;
  if (!ValueOf(object).found() || !snapshot.ParseFromString(ValueOf(object).content())) {
    return Damaged(*latest);
  }
  return FromMessage(snapshot);
}

Status
ConfigurationStore::WriteSnapshot(const ConfigurationSnapshot& aSnapshot,
                                  std::chrono::milliseconds aCallTimeout)
{
  v1::PutObjectRequest request;
  request.set_name(fmt::format("{}{:020}", kSnapshotPrefix, aSnapshot.mRevision));
  request.set_content(ToMessage(aSnapshot).SerializeAsString());
  const Result<v1::PutObjectReply> reply = mObjects.Put(request, aCallTimeout);
  if (!IsOk(reply)) {
    return ErrorOf(reply);
  }
  return Done{};
}

} // namespace papayaspindle
