#pragma once

#include "core/error.h"
#include "platform.pb.h"

#include <chrono>

namespace papayaspindle {

/**
 * Access to the platform's transactional table service.
 *
 * Errors: StoreUnavailable when the call certainly had no effect; OutcomeUnknown when
 * Transact() may have taken effect although its answer did not arrive.
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
