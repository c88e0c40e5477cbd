#pragma once

#include "core/strongid.h"

namespace papayaspindle {

/** Name of a database group. */
using GroupId = StrongId<struct GroupTag>;
/** Name of a member of a database group, which is one backend server. */
using MemberId = StrongId<struct MemberTag>;
/** Name of an entry instance. */
using InstanceId = StrongId<struct InstanceTag>;
/** Name of an availability zone. */
using AvailabilityZone = StrongId<struct AvailabilityZoneTag>;
/** Name of a caller; fair queueing distinguishes callers by it. */
using CallerId = StrongId<struct CallerTag>;
/** Id of a write, chosen by the caller; it prevents the write from running twice. */
using RequestId = StrongId<struct RequestTag>;
/** Id of an open transaction. */
using TransactionId = StrongId<struct TransactionTag>;

} // namespace papayaspindle
