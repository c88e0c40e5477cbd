#pragma once

#include <cstdint>
#include <string>

namespace papayaspindle {

/** The authority of an instance over all groups that it claims: a row in the table
 * service, with the instance's name as the key. */
struct AuthorityRow
{
  /** Differs between two processes that run under the same instance name. */
  std::string mProcess;
  /** Rises whenever the authority is taken or revoked. */
  std::uint64_t mEpoch = 0;
  /** Number of the write, unique in its process; identifies a write whose answer was
   * lost. */
  std::uint64_t mSerial = 0;
  /** The authority was given up or revoked; nobody grants under it. */
  bool mEnded = false;
  /** Version of the row; 0 when there is none. */
  std::uint64_t mVersion = 0;

  bool operator==(const AuthorityRow&) const = default;
};

} // namespace papayaspindle
