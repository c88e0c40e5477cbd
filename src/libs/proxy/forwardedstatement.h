#pragma once

#include "proxy/operation.h"
#include "proxy/session.h"

#include <optional>
#include <string>

namespace papayaspindle::proxy {

/** A statement as an entry instance hands it to a home of the group. */
struct ForwardedStatement
{
  /** The entry instance's key of the session. */
  SessionKey mSession = 0;
  /** As the entry instance's configuration has it. */
  Route mRoute;
  Statement mStatement;
  /** What mStatement executes, for Execute. */
  PreparedStatement mPrepared;
  OperationPurpose mPurpose = OperationPurpose::SingleRead;
  /** The transaction was opened for writing. */
  bool mMayWrite = false;
  bool mWrites = false;
  SessionValues mValues;
  std::optional<LogPosition> mLastCommit;
  /** Since the statement arrived at the entry instance. */
  Duration mWaited{};
};

} // namespace papayaspindle::proxy
