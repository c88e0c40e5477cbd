#pragma once

#include "daemon/connections/connectionhooks.h"
#include "transport/channeltable.h"

namespace papayaspindle {

/** @return a hook that opens gRPC session streams; aChannels outlives the connections */
OpenHook OpenMemberConnections(ChannelTable& aChannels);

} // namespace papayaspindle
