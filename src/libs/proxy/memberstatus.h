#pragma once

#include "core/logposition.h"
#include "core/timetypes.h"
#include "proxy/memberentry.h"

#include <cstdint>

namespace papayaspindle::proxy {

/** What a member reports of itself when asked. */
struct MemberStatus
{
  MemberRole mRole = MemberRole::Replica;
  std::uint64_t mTerm = 0;
  /** Newest position that the member has received; it may not have applied it yet. */
  LogPosition mReceived;
  /** Term for which it was paused; 0 while it receives. */
  std::uint64_t mHeldTerm = 0;
  /** How far what it has applied is behind what it has received. */
  Duration mLag{};
};

} // namespace papayaspindle::proxy
