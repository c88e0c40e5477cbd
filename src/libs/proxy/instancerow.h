#pragma once

#include "proxy/hometable.h"
#include "proxy/rowstore.h"

#include <cstdint>
#include <optional>
#include <string>

namespace papayaspindle::proxy {

/** When the row of an instance was written, as the instance has noted in it. */
struct InstanceWriteTime
{
  /** Number of the heartbeat since the start of the process. */
  std::uint64_t mHeartbeat = 0;
  /** Time of the store's clock in milliseconds; 0 if it was unknown. */
  std::uint64_t mStoreTimeMs = 0;
  /** Incarnation of the store; 0 if it was unknown. */
  std::uint64_t mIncarnation = 0;
};

/** @return the words of an instance's row that don't change with each heartbeat */
std::string EncodeInstance(const RegisteredInstance& aInstance);

/** @return value of an instance's row; without an incarnation, it has no word for one */
std::string EncodeInstanceRow(const RegisteredInstance& aInstance,
                              const InstanceWriteTime& aWritten);

/** @return the instance that a row describes, or nothing if the row can't be used */
std::optional<RegisteredInstance> DecodeInstance(const StoredRow& aRow);

/** @return the time of the row; what is missing or no number is 0 */
InstanceWriteTime DecodeInstanceWriteTime(const StoredRow& aRow);

} // namespace papayaspindle::proxy
