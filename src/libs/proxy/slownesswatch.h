#pragma once

#include "core/timetypes.h"

#include <cstdint>
#include <optional>

namespace papayaspindle::proxy {

/** Detects from the times of a member's answers whether the member is slow but not down.
 */
class SlownessWatch
{
public:
  enum class Change : std::uint8_t
  {
    BecameSlow,
    Recovered,
  };

  /**
   * Adds the time of an answer.
   *
   * @param aUsualTime usual time of this kind of statement at the members of all groups
   * @return the change of state that the answer caused, if any
   */
  std::optional<Change> Add(Duration aTook, Duration aUsualTime);

  [[nodiscard]] bool IsSlow() const { return mIsSlow; }
  /** @return smoothed ratio of answer times to usual times */
  [[nodiscard]] double Ratio() const { return mRatio; }

private:
  double mRatio = 1;
  bool mIsSlow = false;
};

} // namespace papayaspindle::proxy
