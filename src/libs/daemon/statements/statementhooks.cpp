#include "daemon/statements/statementhooks.h"

#include <random>
#include <thread>

namespace papayaspindle {

namespace {

std::uint64_t
RandomNumber()
{
  thread_local std::random_device sDevice;
  constexpr unsigned kHalf = 32;
  return (static_cast<std::uint64_t>(sDevice()) << kHalf) | sDevice();
}

} // namespace

StatementHooks
SystemStatementHooks()
{
  return { [] { return Clock::now(); },
           [](Duration aPause) { std::this_thread::sleep_for(aPause); },
           RandomNumber };
}

} // namespace papayaspindle
