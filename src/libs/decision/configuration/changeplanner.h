#pragma once

#include "core/groupsettings.h"

#include <string>
#include <vector>

namespace papayaspindle {

/**
 * Describes what a change does.
 *
 * @param aBefore the group now; null when it does not exist
 * @param aAfter the group after the change
 * @return one sentence for each effect
 */
std::vector<std::string> DescribeChange(const GroupSettings* aBefore,
                                        const GroupSettings& aAfter);

} // namespace papayaspindle
