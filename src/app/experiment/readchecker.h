#pragma once

#include "caller.pb.h"
#include "core/timetypes.h"
#include "experiment/operation.h"

#include <cstdint>
#include <optional>

namespace papayaspindle::experiment {

class RegisterHistory;

/** What a read may break. */
enum class ReadVerdict : std::uint8_t
{
  Good,
  /** Older than the read's rule. */
  Stale,
  /** Misses a write of its own session. */
  OwnWriteMissing,
  /** Not an answer to this request, or a value that nobody wrote. */
  Impossible,
};

/**
 * Checks one answered read.
 *
 * @param aSentAt when the answered attempt was sent
 * @param aOwnValue highest value of the register that the session's own acknowledged
 * writes made
 */
ReadVerdict CheckRead(const Operation& aRead,
                      const v1::ExecuteReply& aReply,
                      TimePoint aSentAt,
                      std::uint64_t aOwnValue,
                      const RegisterHistory& aHistory);

/** @return the register's value in the answer; nothing when the answer cannot be one to
 * this read */
std::optional<std::uint64_t> RegisterValue(const Operation& aRead,
                                           const v1::ExecuteReply& aReply);

} // namespace papayaspindle::experiment
