#pragma once

#include <span>

namespace papayaspindle {

/**
 * @param aX where was measured
 * @param aY what was measured, as many values
 * @return slope of the least-squares line; 0 for fewer than two different places
 */
double SlopeOf(std::span<const double> aX, std::span<const double> aY);

} // namespace papayaspindle
