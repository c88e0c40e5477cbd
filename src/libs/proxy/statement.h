#pragma once

#include <cstdint>
#include <string>

namespace papayaspindle::proxy {

/** What a client's statement asks for. */
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
  /** The client's id of the statement; members see it unchanged. */
  std::string mId;
  StatementKind mKind = StatementKind::Malformed;
  /** Name of the session value (Set) or of the prepared statement (Prepare, Execute,
   * Deallocate). */
  std::string mName;
  /** What follows the name: item and data, the value, or the shape; passed on unchanged.
   */
  std::string mArguments;
  /** Of Prepare only. */
  PreparedKind mPreparedKind = PreparedKind::Read;
};

} // namespace papayaspindle::proxy
