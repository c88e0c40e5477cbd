#pragma once

#include <cstdint>

namespace papayaspindle::proxy {

/** All error codes that members and the proxy return. */
enum class AnswerCode : std::uint8_t
{
  /** The member or the instance is overloaded; the statement has not run. */
  Busy,
  /** The transaction was rolled back; none of its changes are kept. */
  Aborted,
  /** The member's log has not reached the required position; the statement has not run.
   */
  Lagging,
  /** The member is not the leader of its group; the statement has not run. */
  ReadOnly,
  /** The member that answered has another id or belongs to another group. */
  Misrouted,
  /** The member's connection limit is reached. */
  TooMany,
  /** The statement ran and failed. */
  Failed,
  /** The prepared statement does not exist at the member or in the session. */
  UnknownPrepared,
  /** The statement timed out; it may have run. */
  Timeout,
  NotAuthorized,
  /** No route has that database name. */
  UnknownDatabase,
  TooLarge,
  BadMessage,
  /** The statement may or may not have taken effect. */
  Unknown,
};

} // namespace papayaspindle::proxy
