// Long statements of open transactions while memory is short.

#include "platform/statementgate.h"

#include <catch2/catch.hpp>

#include <optional>
#include <set>

using namespace papayaspindle;
using namespace papayaspindle::platform;

namespace {

constexpr std::size_t kLimit = 10U << 20U;
constexpr std::size_t kLong = 3U << 20U;
constexpr std::size_t kShort = 1U << 10U;
// A holder that isn't a session of the test.
constexpr MemoryAccount::Holder kOther = 100;

struct Gate
{
  MemoryAccount mAccount{ kLimit };
  std::set<MemoryAccount::Holder> mUnderway;
  StatementGate mGate{ mAccount, [this](MemoryAccount::Holder aSession) {
                        return mUnderway.contains(aSession);
                      } };

  bool Start(MemoryAccount::Holder aSession, std::size_t aBytes)
  {
    const bool starts = mGate.Request(aSession, aBytes);
    if (starts) {
      mUnderway.insert(aSession);
    }
    return starts;
  }
};

} // namespace

// Guards against many long statements that start at the same time and together exceed the
// memory, and against ordinary requests that wait with them.
TEST_CASE("long statements wait for memory while short ones start")
{
  Gate gate;
  REQUIRE(gate.Start(1, kLong));
  gate.mAccount.Set(kOther, MemoryUse::Input, kLimit - kLong + 1);
  REQUIRE_FALSE(gate.Start(2, kLong));
  REQUIRE(gate.Start(3, kShort));
  REQUIRE_FALSE(gate.mGate.Next());
  gate.mAccount.Remove(kOther);
  REQUIRE(gate.mGate.Next() == 2);
  REQUIRE(gate.Start(2, kLong));
  REQUIRE_FALSE(gate.mGate.Next());
}

// Guards against statements that wait for ever because those that wait hold the memory.
TEST_CASE("one long statement starts without room when none is underway")
{
  Gate gate;
  gate.mAccount.Set(kOther, MemoryUse::Input, 2 * kLimit);
  REQUIRE(gate.Start(1, kLong));
  REQUIRE_FALSE(gate.Start(2, kLong));
  REQUIRE_FALSE(gate.mGate.Next());
  gate.mUnderway.erase(1);
  REQUIRE(gate.mGate.Next() == 2);
  REQUIRE(gate.Start(2, kLong));
}

// Guards against a statement that later ones overtake again and again.
TEST_CASE("waiting statements start in the order of their arrival")
{
  Gate gate;
  REQUIRE(gate.Start(1, kLong));
  gate.mAccount.Set(kOther, MemoryUse::Input, kLimit);
  REQUIRE_FALSE(gate.Start(2, 2 * kLong));
  REQUIRE_FALSE(gate.Start(3, kLong));
  REQUIRE_FALSE(gate.Start(4, kLong));
  gate.mAccount.Set(kOther, MemoryUse::Input, kLimit - kLong);
  // There is room for the third and the fourth one, but not for the second.
  REQUIRE_FALSE(gate.mGate.Next());
  REQUIRE_FALSE(gate.Start(5, kLong));
  gate.mGate.Remove(2);
  REQUIRE(gate.mGate.Next() == 3);
  REQUIRE(gate.Start(3, kLong));
  REQUIRE(gate.mGate.Next() == 4);
}

// Guards against a session that has ended and blocks those behind it.
TEST_CASE("a session that has ended neither waits nor counts as underway")
{
  Gate gate;
  REQUIRE(gate.Start(1, kLong));
  gate.mAccount.Set(kOther, MemoryUse::Input, kLimit);
  REQUIRE_FALSE(gate.Start(2, kLong));
  REQUIRE_FALSE(gate.Start(3, kLong));
  gate.mGate.Remove(2);
  gate.mGate.Remove(1);
  REQUIRE(gate.mGate.Next() == 3);
}
