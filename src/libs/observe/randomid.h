#pragma once

#include "core/hooks.h"

#include <cstddef>
#include <string>

namespace papayaspindle {

/** @return a source of random numbers, seeded from the system; safe from all threads */
RandomHook SystemRandom();

/**
 * @param aBytes number of random bytes
 * @return the bytes as lower-case hexadecimal digits; never all zero, as W3C trace
 * context asks
 */
std::string RandomHexId(std::size_t aBytes);

} // namespace papayaspindle
