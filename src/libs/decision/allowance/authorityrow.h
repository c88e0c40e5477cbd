#pragma once

#include <cstdint>
#include <string>

namespace papayaspindle {

/**
 * The authority of an instance: a time-limited right to grant leases for all groups whose
 * pools the instance claims. Stored as a row in the table service under the instance's
 * name.
 */
struct AuthorityRow
{
  /** Id of the process; differs between processes that use the same instance name. */
  std::string mProcess;
  /** Number that rises whenever the authority is acquired or revoked. */
  std::uint64_t mEpoch = 0;
  /** Number of the write, unique within its process. The process uses it to recognise a
   * write whose answer was lost. */
  std::uint64_t mSerial = 0;
  /** Whether the authority was relinquished or revoked; no leases are granted then. */
  bool mEnded = false;
  /** Version of the row; 0 when the row does not exist. */
  std::uint64_t mVersion = 0;

  bool operator==(const AuthorityRow&) const = default;
};

} // namespace papayaspindle
