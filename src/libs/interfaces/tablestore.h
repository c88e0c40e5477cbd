#pragma once

#include "core/error.h"
#include "platform.pb.h"

#include <chrono>

namespace papayaspindle {

/**
 * The platform's transactional table service.
 *
 * Errors: StoreUnavailable when the call certainly did nothing; OutcomeUnknown when a
 * Transact may have taken effect though its answer did not arrive.
 */
class TableStore
{
public:
  virtual ~TableStore() = default;

  virtual Result<v1::TableReadReply> Read(const v1::TableReadRequest& aRequest,
                                          std::chrono::milliseconds aTimeout) = 0;
  virtual Result<v1::TableScanReply> Scan(const v1::TableScanRequest& aRequest,
                                          std::chrono::milliseconds aTimeout) = 0;
  virtual Result<v1::TransactReply> Transact(const v1::TransactRequest& aRequest,
                                             std::chrono::milliseconds aTimeout) = 0;
};

} // namespace papayaspindle
