#include "controlbench/slope.h"

#include <cstddef>

namespace papayaspindle {

double
SlopeOf(std::span<const double> aX, std::span<const double> aY)
{
  const auto count = static_cast<double>(aX.size());
  double meanX = 0;
  double meanY = 0;
  for (std::size_t i = 0; i < aX.size(); ++i) {
    meanX += aX[i] / count;
    meanY += aY[i] / count;
  }
  double covariance = 0;
  double variance = 0;
  for (std::size_t i = 0; i < aX.size(); ++i) {
    covariance += (aX[i] - meanX) * (aY[i] - meanY);
    variance += (aX[i] - meanX) * (aX[i] - meanX);
  }
  return variance > 0 ? covariance / variance : 0;
}

} // namespace papayaspindle
