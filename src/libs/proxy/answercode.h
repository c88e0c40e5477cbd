#pragma once

#include <cstdint>

namespace papayaspindle::proxy {

/** The closed list of error codes that members and the proxy answer with. */
enum class AnswerCode : std::uint8_t
{
  /** Overloaded; the statement has not run. */
  Busy,
  /** The transaction is rolled back; nothing of it is kept. */
  Aborted,
  /** The member's log lacks the required position; the statement has not run. */
  Lagging,
  /** The member doesn't lead its group; the statement has not run. */
  ReadOnly,
  /** The member has another id or belongs to another group. */
  Misrouted,
  /** The member has no connection to spare. */
  TooMany,
  /** The statement ran and failed. */
  Failed,
  /** The member doesn't know the prepared statement. */
  UnknownPrepared,
  /** The statement ran out of time; it may have run. */
  Timeout,
  NotAuthorized,
  /** No route has that database name. */
  UnknownDatabase,
  TooLarge,
  BadMessage,
  /** Whether the statement took effect is not known. */
  Unknown,
};

} // namespace papayaspindle::proxy
