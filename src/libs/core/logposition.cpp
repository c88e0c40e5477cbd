#include "core/logposition.h"

#include <fmt/format.h>

namespace papayaspindle {

std::string
ToString(const LogPosition& aPosition)
{
  return fmt::format("{}/{}", aPosition.mTerm, aPosition.mIndex);
}

} // namespace papayaspindle
