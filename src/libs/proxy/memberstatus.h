#pragma once

#include "core/logposition.h"
#include "core/timetypes.h"
#include "proxy/memberentry.h"

#include <cstdint>

namespace papayaspindle::proxy {

/** Status that a member reports on request. */
struct MemberStatus
{
  MemberRole mRole = MemberRole::Replica;
  std::uint64_t mTerm = 0;
  /** Newest log position that the member has received, though possibly not yet applied.
   */
  LogPosition mReceived;
  /** Term for which the member was paused; 0 while it receives log entries. */
  std::uint64_t mPausedTerm = 0;
  /** Replication lag: how far the applied log is behind the received log. */
  Duration mLag{};
};

} // namespace papayaspindle::proxy
