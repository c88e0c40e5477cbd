#pragma once

#include "decision/membership/instancetable.h"
#include "decision/membership/membershipactions.h"
#include "peer.pb.h"
#include "platform.pb.h"

#include <cstdint>
#include <vector>

namespace papayaspindle {

/** @return the probe as a schema message */
v1::ProbeRequest ToProbeRequest(const ProbeMessage& aMessage, std::uint64_t aRevision);
/** @return the schema message as a probe */
ProbeMessage FromProbeRequest(const v1::ProbeRequest& aRequest);
/** @return the reply as a schema message */
v1::ProbeReply ToProbeReply(const ProbeMessage& aMessage, std::uint64_t aRevision);
/** @return the schema message as a reply */
ProbeMessage FromProbeReply(const v1::ProbeReply& aReply);
/** @return the platform's list as candidates */
std::vector<ListedCandidate> FromListing(const v1::ListInstancesReply& aReply);

} // namespace papayaspindle
