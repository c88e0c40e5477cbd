#include "daemon/connections/allowancestore.h"

#include "daemon/connections/allowancemessages.h"
#include "interfaces/tablestore.h"

#include <string>

namespace papayaspindle {

namespace {

constexpr const char* kRecordTable = "allowances";
constexpr const char* kAuthorityTable = "authority";
constexpr std::chrono::milliseconds kStoreTimeout{ 500 };

Result<v1::TableRow>
ReadRow(TableStore& aTables, const char* aTable, const std::string& aKey)
{
  v1::TableReadRequest request;
  request.set_table(aTable);
  request.set_key(aKey);
  const Result<v1::TableReadReply> reply = aTables.Read(request, kStoreTimeout);
  if (!IsOk(reply)) {
    return ErrorOf(reply);
  }
  return ValueOf(reply).row();
}

void
AddChange(v1::TransactRequest& aRequest,
          const char* aTable,
          const std::string& aKey,
          std::uint64_t aVersion,
          const std::string& aValue)
{
  v1::RowCondition& condition = *aRequest.add_conditions();
  condition.set_table(aTable);
  condition.set_key(aKey);
  condition.set_version(aVersion);
  v1::RowChange& change = *aRequest.add_changes();
  change.set_table(aTable);
  change.set_key(aKey);
  change.set_value(aValue);
}

/** A row that cannot be read as its message is reported, never taken for an empty one. */
template<typename Message>
std::optional<Error>
Parse(const v1::TableRow& aRow, Message& aMessage)
{
  if (aRow.version() == 0 || aMessage.ParseFromString(aRow.value())) {
    return std::nullopt;
  }
  return Error{ ErrorKind::Internal, "malformed row " + aRow.table() + "/" + aRow.key() };
}

} // namespace

AllowanceStore::AllowanceStore(TableStore& aTables)
  : mTables(aTables)
{
}

Result<AllocationRecord>
AllowanceStore::ReadRecord(const GroupId& aGroup)
{
  const Result<v1::TableRow> row = ReadRow(mTables, kRecordTable, aGroup.Text());
  if (!IsOk(row)) {
    return ErrorOf(row);
  }
  v1::AllocationRecord message;
  if (const auto error = Parse(ValueOf(row), message)) {
    return *error;
  }
  return FromMessage(message, aGroup, ValueOf(row).version());
}

Result<AuthorityRow>
AllowanceStore::ReadAuthority(const InstanceId& aInstance)
{
  const Result<v1::TableRow> row = ReadRow(mTables, kAuthorityTable, aInstance.Text());
  if (!IsOk(row)) {
    return ErrorOf(row);
  }
  v1::AuthorityRow message;
  if (const auto error = Parse(ValueOf(row), message)) {
    return *error;
  }
  return FromMessage(message, ValueOf(row).version());
}

Result<WriteOutcome>
AllowanceStore::Write(const AllowanceWrite& aWrite)
{
  v1::TransactRequest request;
  if (aWrite.mRecord) {
    AddChange(request,
              kRecordTable,
              aWrite.mRecord->mGroup.Text(),
              aWrite.mRecord->mVersion,
              ToMessage(*aWrite.mRecord).SerializeAsString());
  }
  if (aWrite.mAuthority) {
    AddChange(request,
              kAuthorityTable,
              aWrite.mInstance.Text(),
              aWrite.mAuthority->mVersion,
              ToMessage(*aWrite.mAuthority).SerializeAsString());
  }
  const Result<v1::TransactReply> reply = mTables.Transact(request, kStoreTimeout);
  if (!IsOk(reply)) {
    return ErrorOf(reply);
  }
  return ValueOf(reply).committed() ? WriteOutcome::Committed : WriteOutcome::Conflict;
}

} // namespace papayaspindle
