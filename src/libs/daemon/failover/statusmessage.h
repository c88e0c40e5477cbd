#pragma once

#include "backend.pb.h"
#include "core/ids.h"
#include "decision/failover/failoverrun.h"
#include "decision/failover/memberstatus.h"

#include <cstdint>

namespace papayaspindle {

/**
 * @param aMember whom the request went to
 * @param aAskedAt from before the request was sent
 */
MemberStatus StatusFromMessage(const MemberId& aMember,
                               const v1::StatusReply& aMessage,
                               TimePoint aAskedAt);

/** @return the reply to a request of aTerm, for the decision modules */
template<typename Reply>
ControlReply
ControlReplyFrom(std::uint64_t aTerm,
                 bool aAccepted,
                 const MemberId& aMember,
                 const Reply& aReply,
                 TimePoint aAskedAt)
{
  return { aTerm, aAccepted, StatusFromMessage(aMember, aReply.status(), aAskedAt) };
}

} // namespace papayaspindle
