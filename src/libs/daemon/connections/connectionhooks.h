#pragma once

#include "core/error.h"
#include "core/hooks.h"
#include "core/ids.h"
#include "core/timetypes.h"
#include "interfaces/memberconnection.h"

#include <functional>
#include <memory>
#include <string>

namespace papayaspindle {

/** A connection to open. */
struct OpenRequest
{
  GroupId mGroup;
  MemberId mMember;
  /** "ip:port" of the backend server. */
  std::string mAddress;
  TimePoint mDeadline;
};

/** Opens a connection; blocks until the deadline at most. Errors: MemberUnreachable. */
using OpenHook =
  std::function<Result<std::unique_ptr<MemberConnection>>(const OpenRequest&)>;

/** Runs a task that may block on another thread. Returns false when it does not take it.
 */
using SubmitHook = std::function<bool(std::function<void()>)>;

/** What the connection manager needs of its surroundings. */
struct ConnectionHooks
{
  OpenHook mOpen;
  SubmitHook mSubmit;
  NowHook mNow;
};

} // namespace papayaspindle
