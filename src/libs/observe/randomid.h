#pragma once

#include "core/hooks.h"

#include <cstddef>
#include <string>

namespace papayaspindle {

/** @return a thread-safe source of random numbers, seeded by the operating system */
RandomHook SystemRandom();

/**
 * @param aBytes number of random bytes
 * @return the bytes as lower-case hexadecimal digits; never all zero, as W3C Trace
 * Context requires
 */
std::string RandomHexId(std::size_t aBytes);

} // namespace papayaspindle
