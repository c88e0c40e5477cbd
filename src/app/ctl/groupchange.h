#pragma once

#include "operator.pb.h"

#include <optional>
#include <string>

namespace papayaspindle {

/** A group's settings as `ctl` flags describe them; an unset part stays as it is. */
struct GroupEdit
{
  std::optional<std::string> mMembers;
  std::optional<std::string> mLeaving;
  std::optional<std::string> mStaleness;
  std::optional<std::uint32_t> mSlots;
  std::optional<std::uint32_t> mConnectionLimit;
};

/**
 * Applies an edit to settings.
 *
 * @param aSettings changed in place
 * @return what is wrong with the edit, or nothing
 */
std::optional<std::string> ApplyEdit(const GroupEdit& aEdit,
                                     v1::GroupSettings& aSettings);

} // namespace papayaspindle
