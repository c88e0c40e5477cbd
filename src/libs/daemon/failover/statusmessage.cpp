#include "daemon/failover/statusmessage.h"

#include "convert/convert.h"

namespace papayaspindle {

namespace {

MemberRole
RoleFromMessage(v1::MemberRole aRole)
{
  switch (aRole) {
    case v1::MEMBER_ROLE_PRIMARY:
      return MemberRole::Primary;
    case v1::MEMBER_ROLE_REPLICA:
      return MemberRole::Replica;
    default:
      return MemberRole::Fenced;
  }
}

} // namespace

MemberStatus
StatusFromMessage(const MemberId& aMember,
                  const v1::StatusReply& aMessage,
                  TimePoint aAskedAt)
{
  const MemberRole role = RoleFromMessage(aMessage.role());
  return { aMember,
           aMessage.term(),
           role,
           FromMessage(aMessage.last()),
           role == MemberRole::Replica ? MemberId(aMessage.primary()) : MemberId(),
           std::chrono::milliseconds(aMessage.primary_silence_ms()),
           aMessage.leaving(),
           aAskedAt };
}

} // namespace papayaspindle
