#pragma once

#include "core/logposition.h"
#include "proxy/statement.h"

#include <cstdint>
#include <optional>
#include <string>

namespace papayaspindle::proxy {

/** Kind of a command to a member. */
enum class CommandKind : std::uint8_t
{
  Begin,
  BeginRead,
  Commit,
  Rollback,
  Read,
  Write,
  Set,
  Prepare,
  Execute,
  /** Clears session values and prepared statements of the connection. */
  Reset,
  Status,
  /** Stops a replica from receiving log entries until it is resumed or promoted. */
  Pause,
  Resume,
  /** Turns a primary of an older term into a replica. */
  Demote,
};

/** One command to a member. */
struct MemberCommand
{
  CommandKind mKind = CommandKind::Status;
  /** The client's statement id; empty for commands of the proxy itself. */
  std::string mId;
  /** Position that the member's log must have reached; Read, Execute, Begin and BeginRead
   * only. */
  std::optional<LogPosition> mAfter;
  std::string mName;
  std::string mArguments;
  PreparedKind mPreparedKind = PreparedKind::Read;
  /** Pause, Resume and Demote only. */
  std::uint64_t mTerm = 0;
};

} // namespace papayaspindle::proxy
