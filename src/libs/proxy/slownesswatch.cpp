#include "proxy/slownesswatch.h"

#include <algorithm>

namespace papayaspindle::proxy {

namespace {

// At a busy member, statements that wait for a slot take up to about twice their usual
// time.
constexpr double kSlowRatio = 3;
constexpr double kRecoveredRatio = 1.7;
// A single long statement must not mark the member as slow.
constexpr double kMaxRatio = 10;
// Reads soon move away from a slow member, so few answers must suffice.
constexpr double kAnswerWeight = 1.0 / 6;
// Shorter times are dominated by the network round trip to the member.
constexpr Duration kMinUsualTime = std::chrono::milliseconds(1);

} // namespace

std::optional<SlownessWatch::Change>
SlownessWatch::Add(Duration aTook, Duration aUsualTime)
{
  const std::chrono::duration<double> took = aTook;
  const std::chrono::duration<double> usual = std::max(aUsualTime, kMinUsualTime);
  mRatio += (std::min(took / usual, kMaxRatio) - mRatio) * kAnswerWeight;
  const bool isSlow = mRatio > (mIsSlow ? kRecoveredRatio : kSlowRatio);
  if (isSlow == mIsSlow) {
    return std::nullopt;
  }
  mIsSlow = isSlow;
  return isSlow ? Change::BecameSlow : Change::Recovered;
}

} // namespace papayaspindle::proxy
