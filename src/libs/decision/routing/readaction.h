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
  Duration mProvenAge{};

  bool operator==(const ServeFromReplica&) const = default;
};

/** The read waits until the replica has applied the position, then chooses again. */
struct WaitForReplica
{
  MemberId mMember;
  LogPosition mPosition;
  Duration mUpTo{};

  bool operator==(const WaitForReplica&) const = default;
};

/** The primary serves the read. */
struct ServeFromPrimary
{
  MemberId mMember;

  bool operator==(const ServeFromPrimary&) const = default;
};

/** No member can serve the read now. */
struct RefuseRead
{
  ErrorKind mKind = ErrorKind::NoFreshReplica;

  bool operator==(const RefuseRead&) const = default;
};

using ReadAction =
  std::variant<ServeFromReplica, WaitForReplica, ServeFromPrimary, RefuseRead>;

} // namespace papayaspindle
