#pragma once

#include "decision/configuration/configurationchange.h"

#include <string>
#include <vector>

namespace papayaspindle {

/**
 * Checks the request id and the expected revision of a request.
 *
 * @param aCreate whether the request creates the group
 * @return one sentence for each violation; empty when the request is valid
 */
std::vector<std::string> CheckRequest(const ChangeRequest& aRequest, bool aCreate);

/** @return one sentence for each violation of the settings; empty when they are valid */
std::vector<std::string> CheckSettings(const GroupSettings& aSettings);

} // namespace papayaspindle
