#pragma once

#include "platform.pb.h"

#include <map>
#include <string>
#include <utility>

namespace papayaspindle::standin {

/** The rows of the table service, each with a version. Not thread-safe. */
class TableRows
{
public:
  /** @return the row; version 0 when it does not exist */
  [[nodiscard]] v1::TableRow Read(const v1::TableReadRequest& aRequest) const;
  /** @return rows of one table in the order of their keys */
  [[nodiscard]] v1::TableScanReply Scan(const v1::TableScanRequest& aRequest) const;
  /** Makes all changes when all conditions hold, else none. */
  v1::TransactReply Transact(const v1::TransactRequest& aRequest);

private:
  using RowKey = std::pair<std::string, std::string>;
  struct Row
  {
    std::string mValue;
    std::uint64_t mVersion = 0;
  };

  [[nodiscard]] v1::TableRow RowAt(const RowKey& aKey) const;

  std::map<RowKey, Row> mRows;
  /** Version of the next change. One sequence for all rows, so that a row that was
   * removed and made again never gets an old version. */
  std::uint64_t mNextVersion = 1;
};

} // namespace papayaspindle::standin
