#pragma once

#include "proxy/operation.h"
#include "proxy/session.h"

#include <optional>
#include <string>

namespace papayaspindle::proxy {

/** A statement that an entry instance forwards to a home instance of the group. */
struct ForwardedStatement
{
  /** The entry instance's key of the session. */
  SessionKey mSession = 0;
  /** Customer in whose name the statement runs; empty without customers. */
  std::string mCustomer;
  /** Digest of the client's key. */
  std::optional<KeyDigest> mKey;
  /** Version of the configuration on which the entry instance checked the key. */
  std::uint64_t mKeyVersion = 0;
  /** Route from the entry instance's configuration. */
  Route mRoute;
  Statement mStatement;
  /** Prepared statement that mStatement executes; only used by Execute. */
  PreparedStatement mPrepared;
  OperationPurpose mPurpose = OperationPurpose::SingleRead;
  /** Whether the transaction was opened for writing. */
  bool mMayWrite = false;
  bool mWrites = false;
  SessionValues mValues;
  std::optional<LogPosition> mLastCommit;
  /** Time since the statement arrived at the entry instance. */
  Duration mWaited{};
};

} // namespace papayaspindle::proxy
