#pragma once

#include "interfaces/tablestore.h"

#include <map>
#include <string>
#include <utility>

/** Rows in memory; scans are not supported. */
class FakeTableStore : public papayaspindle::TableStore
{
public:
  papayaspindle::Result<papayaspindle::v1::TableReadReply> Read(
    const papayaspindle::v1::TableReadRequest& aRequest,
    std::chrono::milliseconds /*aTimeout*/) override
  {
    ++mCalls;
    if (mDown) {
      return papayaspindle::Error{ papayaspindle::ErrorKind::StoreUnavailable, "" };
    }
    papayaspindle::v1::TableReadReply reply;
    *reply.mutable_row() = mRows[{ aRequest.table(), aRequest.key() }];
    return reply;
  }

  papayaspindle::Result<papayaspindle::v1::TableScanReply> Scan(
    const papayaspindle::v1::TableScanRequest& /*aRequest*/,
    std::chrono::milliseconds /*aTimeout*/) override
  {
    return papayaspindle::Error{ papayaspindle::ErrorKind::StoreUnavailable, "" };
  }

  papayaspindle::Result<papayaspindle::v1::TransactReply> Transact(
    const papayaspindle::v1::TransactRequest& aRequest,
    std::chrono::milliseconds /*aTimeout*/) override
  {
    ++mCalls;
    if (mDown) {
      return papayaspindle::Error{ papayaspindle::ErrorKind::StoreUnavailable, "" };
    }
    papayaspindle::v1::TransactReply reply;
    for (const auto& condition : aRequest.conditions()) {
      const auto& row = mRows[{ condition.table(), condition.key() }];
      if (row.version() != condition.version()) {
        *reply.add_conflicts() = row;
      }
    }
    if (!reply.conflicts().empty()) {
      return reply;
    }
    reply.set_committed(true);
    for (const auto& change : aRequest.changes()) {
      auto& row = mRows[{ change.table(), change.key() }];
      row.set_table(change.table());
      row.set_key(change.key());
      row.set_value(change.value());
      row.set_version(row.version() + 1);
    }
    if (std::exchange(mLoseAnswer, false)) {
      return papayaspindle::Error{ papayaspindle::ErrorKind::OutcomeUnknown, "" };
    }
    return reply;
  }

  bool mDown = false;
  /** The next change takes effect, and its answer is lost. */
  bool mLoseAnswer = false;
  int mCalls = 0;
  std::map<std::pair<std::string, std::string>, papayaspindle::v1::TableRow> mRows;
};
