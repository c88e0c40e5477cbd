#pragma once

#include "core/groupsettings.h"

#include <string>
#include <vector>

namespace papayaspindle {

/**
 * Describes the effects of a change for operators.
 *
 * @param aBefore the current settings of the group; null when it does not exist
 * @param aAfter the settings of the group after the change
 * @return one sentence for each effect
 */
std::vector<std::string> DescribeChange(const GroupSettings* aBefore,
                                        const GroupSettings& aAfter);

} // namespace papayaspindle
