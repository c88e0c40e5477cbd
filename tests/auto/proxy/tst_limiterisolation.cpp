// Tests of limiters that are cut off from the store, from other instances, or from both.

#include "limiterfixture.h"

#include <catch2/catch.hpp>

using namespace papayaspindle;
using namespace papayaspindle::proxy;

// Guards against a limiter that is cut off and grants its part to its own clients while
// its successor does: up to 113 operations over the limit in the exploration with long
// cut-offs, seed 53. The successor begins 20.6 s after the row's last change.
TEST_CASE("a limiter without store and peers stops before its successor begins")
{
  const std::size_t instances = GENERATE(2U, 3U, 6U);
  LimiterFixture fixture;
  fixture.Set(Instances(instances));
  fixture.Advance(60s);
  REQUIRE(fixture.IsInCharge("acme"));
  fixture.mReachesStore = false;
  fixture.Advance(9s);
  REQUIRE(fixture.IsInCharge("acme"));
  fixture.Advance(6s);
  REQUIRE_FALSE(fixture.IsInCharge("acme"));
  fixture.Advance(1h);
  REQUIRE_FALSE(fixture.IsInCharge("acme"));
  // The others have to list it again and its successor to stop first.
  fixture.mReachesStore = true;
  fixture.Advance(10s);
  REQUIRE_FALSE(fixture.IsInCharge("acme"));
  fixture.Advance(4s);
  REQUIRE(fixture.IsInCharge("acme"));
}

// Guards against a store outage or a loss of some instances that stops the limiters of
// all customers, and against a minority that takes itself for the whole.
TEST_CASE("without the store, a limiter grants while more than half of the zones answer")
{
  struct Case
  {
    std::size_t mInstances;
    std::set<std::string> mAnswering;
    bool mGrants;
  };
  // Instances i0, i3, ... are in the zone of the limiter.
  const auto example = GENERATE(Case{ 1, {}, true },
                                Case{ 2, { "i1" }, true },
                                Case{ 3, { "i1" }, true },
                                Case{ 6, { "i5" }, true },
                                Case{ 6, { "i3" }, false },
                                Case{ 12, { "i3", "i6", "i9" }, false });
  LimiterFixture fixture;
  fixture.Set(Instances(example.mInstances));
  fixture.Advance(60s);
  fixture.mReachesStore = false;
  fixture.mAnswering = example.mAnswering;
  for (int minute = 0; minute < 10; minute++) {
    fixture.Advance(60s);
    REQUIRE(fixture.IsInCharge("acme") == example.mGrants);
  }
}

TEST_CASE("in a single zone, a limiter without the store needs any other instance")
{
  const bool isAnswered = GENERATE(true, false);
  auto instances = Instances(4);
  for (RegisteredInstance& instance : instances) {
    instance.mZone = "z0";
  }
  LimiterFixture fixture;
  fixture.Set(instances);
  fixture.Advance(60s);
  fixture.mReachesStore = false;
  if (isAnswered) {
    fixture.mAnswering = { "i2" };
  }
  fixture.Advance(60s);
  REQUIRE(fixture.IsInCharge("acme") == isAnswered);
}

// Guards against a limiter that was replaced while it was cut off and grants as soon as
// the first instance answers.
TEST_CASE("after a long silence, answers of other instances count after 11 s")
{
  LimiterFixture fixture;
  fixture.Set(Instances(3));
  fixture.Advance(60s);
  fixture.mReachesStore = false;
  fixture.Advance(30s);
  fixture.mAnswering = { "i1", "i2" };
  fixture.Advance(12s);
  REQUIRE_FALSE(fixture.IsInCharge("acme"));
  fixture.Advance(3s);
  REQUIRE(fixture.IsInCharge("acme"));
}

// Guards against a single zone whose instances exchange nothing: none of them would learn
// that the others still answer.
TEST_CASE("a limiter pings one instance of each silent zone in turn")
{
  LimiterFixture fixture;
  fixture.Set(Instances(6));
  fixture.Advance(3s);
  std::set<std::string> pinged;
  for (int round = 0; round < 2; round++) {
    fixture.mNow += 1s;
    for (const std::string& peer : fixture.mTable.PeersToPing(fixture.mNow)) {
      pinged.insert(peer);
    }
    REQUIRE(fixture.mTable.PeersToPing(fixture.mNow).empty());
  }
  REQUIRE(pinged == std::set<std::string>{ "i1", "i2", "i4", "i5" });
  fixture.mNow += 1s;
  fixture.mTable.OnPeerAnswered("i1", fixture.mNow);
  REQUIRE(fixture.mTable.PeersToPing(fixture.mNow) == std::vector<std::string>{ "i2" });
}
