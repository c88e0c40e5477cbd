// Seeded exploration of instances that follow a table of a store that returns to older
// states, from the store, from readers and from substitutes: guards against copies that
// go back, hold rows that the store didn't have or claim to be newer than they are,
// against rows that don't arrive in time, and against calls to the store without a pause.

#include "proxy/relayexploration.h"

#include <catch2/catch.hpp>

#include <cstdlib>

using namespace papayaspindle;
using namespace papayaspindle::proxy;

namespace {

// Number of seeds, unless PAPAYASPINDLE_EXPLORATION_RUNS sets another one.
// The first seed is 1, or PAPAYASPINDLE_EXPLORATION_SEED.
constexpr std::uint64_t kDefaultRuns = 100;

std::uint64_t
NumberFromEnvironment(const char* aName, std::uint64_t aDefault)
{
  const char* text = std::getenv(aName);
  return text == nullptr ? aDefault : std::strtoull(text, nullptr, 10);
}

} // namespace

TEST_CASE("no sequence of returns and faults leaves a wrong copy of a table")
{
  const std::uint64_t first = NumberFromEnvironment("PAPAYASPINDLE_EXPLORATION_SEED", 1);
  const std::uint64_t runs =
    NumberFromEnvironment("PAPAYASPINDLE_EXPLORATION_RUNS", kDefaultRuns);
  for (std::uint64_t seed = first; seed < first + runs; seed++) {
    RelayExploration exploration(seed);
    const std::string violation = exploration.Run();
    INFO(violation);
    CHECK(violation.empty());
  }
}
