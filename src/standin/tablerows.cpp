#include "standin/tablerows.h"

namespace papayaspindle::standin {

namespace {

constexpr std::uint32_t kDefaultScanLimit = 1000;

} // namespace

v1::TableRow
TableRows::RowAt(const RowKey& aKey) const
{
  v1::TableRow row;
  row.set_table(aKey.first);
  row.set_key(aKey.second);
  if (const auto found = mRows.find(aKey); found != mRows.end()) {
    row.set_value(found->second.mValue);
    row.set_version(found->second.mVersion);
  }
  return row;
}

v1::TableRow
TableRows::Read(const v1::TableReadRequest& aRequest) const
{
  return RowAt({ aRequest.table(), aRequest.key() });
}

v1::TableScanReply
TableRows::Scan(const v1::TableScanRequest& aRequest) const
{
  const int limit =
    static_cast<int>(aRequest.limit() == 0 ? kDefaultScanLimit : aRequest.limit());
  v1::TableScanReply reply;
  for (auto at = mRows.lower_bound({ aRequest.table(), aRequest.from_key() });
       at != mRows.end() && at->first.first == aRequest.table();
       ++at) {
    if (!aRequest.to_key().empty() && at->first.second >= aRequest.to_key()) {
      break;
    }
    if (reply.rows_size() == limit) {
      reply.set_more(true);
      break;
    }
    *reply.add_rows() = RowAt(at->first);
  }
  return reply;
}

v1::TransactReply
TableRows::Transact(const v1::TransactRequest& aRequest)
{
  v1::TransactReply reply;
  for (const v1::RowCondition& condition : aRequest.conditions()) {
    v1::TableRow row = RowAt({ condition.table(), condition.key() });
    if (row.version() != condition.version()) {
      *reply.add_conflicts() = std::move(row);
    }
  }
  if (reply.conflicts_size() > 0) {
    return reply;
  }
  for (const v1::RowChange& change : aRequest.changes()) {
    const RowKey key{ change.table(), change.key() };
    if (change.remove()) {
      mRows.erase(key);
    } else {
      mRows[key] = { change.value(), mNextVersion++ };
    }
  }
  reply.set_committed(true);
  return reply;
}

} // namespace papayaspindle::standin
