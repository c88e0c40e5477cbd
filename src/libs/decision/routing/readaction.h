#pragma once

#include "core/errorkind.h"
#include "core/ids.h"
#include "core/logposition.h"
#include "core/timetypes.h"

#include <variant>

namespace papayaspindle {

/** The replica serves the read. */
struct ServeFromReplica
{
  MemberId mMember;
  /** Age that the replica's data has at most. */
  Duration mProvenAge{};

  bool operator==(const ServeFromReplica&) const = default;
};

/** The read waits for at most mMaxWait until the replica has applied the position, and a
 * member is then chosen again. */
struct WaitForReplica
{
  MemberId mMember;
  LogPosition mPosition;
  Duration mMaxWait{};

  bool operator==(const WaitForReplica&) const = default;
};

/** The primary serves the read. */
struct ServeFromPrimary
{
  MemberId mMember;

  bool operator==(const ServeFromPrimary&) const = default;
};

/** The read fails because no member can serve it now. */
struct RefuseRead
{
  ErrorKind mKind = ErrorKind::NoFreshReplica;

  bool operator==(const RefuseRead&) const = default;
};

using ReadAction =
  std::variant<ServeFromReplica, WaitForReplica, ServeFromPrimary, RefuseRead>;

} // namespace papayaspindle
