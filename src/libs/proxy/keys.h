#pragma once

#include <cstdint>

namespace papayaspindle::proxy {

using SessionKey = std::uint64_t;
using ConnectionKey = std::uint64_t;
/** 0 is never given to an operation. */
using OperationKey = std::uint64_t;

} // namespace papayaspindle::proxy
