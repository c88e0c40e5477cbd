#pragma once

#include <cstdint>
#include <string>

namespace papayaspindle::proxy {

/** Kind of a client's statement. */
enum class StatementKind : std::uint8_t
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
  Deallocate,
  Malformed,
};

/** Whether a prepared statement reads or writes. */
enum class PreparedKind : std::uint8_t
{
  Read,
  Write,
};

/** One statement of a client. */
struct Statement
{
  /** The client's id of the statement; passed to members unchanged. */
  std::string mId;
  StatementKind mKind = StatementKind::Malformed;
  /** Name of the session value (Set) or of the prepared statement (Prepare, Execute,
   * Deallocate). */
  std::string mName;
  /** Text after the name: item and data, the value, or the shape; passed on unchanged. */
  std::string mArguments;
  /** Only used by Prepare. */
  PreparedKind mPreparedKind = PreparedKind::Read;
};

} // namespace papayaspindle::proxy
