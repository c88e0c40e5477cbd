#pragma once

#include "core/strongid.h"

namespace papayaspindle {

/** A database group. */
using GroupId = StrongId<struct GroupTag>;
/** A member of a database group: one backend server. */
using MemberId = StrongId<struct MemberTag>;
/** An entry instance. */
using InstanceId = StrongId<struct InstanceTag>;
/** An availability zone. */
using AvailabilityZone = StrongId<struct AvailabilityZoneTag>;
/** A caller, for fair queueing. */
using CallerId = StrongId<struct CallerTag>;
/** A write's request id, chosen by the caller. */
using RequestId = StrongId<struct RequestTag>;
/** An open transaction. */
using TransactionId = StrongId<struct TransactionTag>;

} // namespace papayaspindle
