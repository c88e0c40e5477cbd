#include "proxy/admission/memberthroughput.h"

#include <algorithm>
#include <chrono>

namespace papayaspindle::proxy {

namespace {

/** Lower bound of the service time in predictions of the wait. */
constexpr Duration kMinServiceTime = std::chrono::milliseconds(1);

} // namespace

double
MemberThroughput::PerSecond() const
{
  const std::chrono::duration<double> time = std::max(mServiceTime, kMinServiceTime);
  return mLimit / time.count();
}

std::optional<Duration>
PredictWait(std::size_t aAhead, std::span<const MemberThroughput> aCandidates)
{
  double perSecond = 0;
  for (const MemberThroughput& candidate : aCandidates) {
    perSecond += candidate.PerSecond();
  }
  if (perSecond <= 0) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(static_cast<double>(aAhead + 1) / perSecond));
}

} // namespace papayaspindle::proxy
