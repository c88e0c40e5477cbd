#pragma once

#include "decision/configuration/configurationchange.h"

#include <string>
#include <vector>

namespace papayaspindle {

/**
 * Checks the form of a request, its settings aside.
 *
 * @param aCreate whether the group must not exist yet
 * @return one sentence for each violation; empty when it is well formed
 */
std::vector<std::string> CheckRequest(const ChangeRequest& aRequest, bool aCreate);

/** @return one sentence for each violation of the settings; empty when they are valid */
std::vector<std::string> CheckSettings(const GroupSettings& aSettings);

} // namespace papayaspindle
