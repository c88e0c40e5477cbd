#include "experiment/registerhistory.h"
#include "experiment/workloadmix.h"

#include <catch2/catch.hpp>

#include <map>
#include <set>
#include <string>

using namespace papayaspindle;
using namespace papayaspindle::experiment;

namespace {

constexpr std::chrono::milliseconds kViewAge{ 2000 };
constexpr std::uint64_t kRequests = 5000;

std::vector<Operation>
Plan(const std::string& aName, std::uint64_t aSeed)
{
  RegisterHistory history;
  const auto mix = MakeMix(aName, { { GroupId("a"), GroupId("b") }, kViewAge }, history);
  REQUIRE(mix != nullptr);
  std::vector<Operation> plan;
  for (std::uint64_t i = 0; i < kRequests; ++i) {
    std::mt19937_64 random(aSeed + i);
    plan.push_back(mix->Next(random, {}, std::to_string(i)));
    if (plan.back().mWrite && plan.back().mKind == RegisterKind::Version) {
      history.AcknowledgeVersion(plan.back().mRegister, plan.back().mVersion, {});
    }
  }
  return plan;
}

} // namespace

// Guards against plans that a seed does not fix, and against writes that share a register
// version, which the checks could not tell apart.
TEST_CASE("a seed fixes the plan", "[experiment]")
{
  struct Case
  {
    const char* mName;
    std::uint64_t mLeastWrites;
    std::uint64_t mMostWrites;
  };
  for (const Case& one : { Case{ "iazul", 1500, 2000 }, Case{ "notices", 100, 200 } }) {
    CAPTURE(one.mName);
    const auto plan = Plan(one.mName, 1);
    const auto again = Plan(one.mName, 1);
    std::uint64_t writes = 0;
    std::set<std::string> written;
    for (std::size_t i = 0; i < plan.size(); ++i) {
      REQUIRE(plan[i].mStatement == again[i].mStatement);
      CHECK((plan[i].mWrite || plan[i].mMaxStaleness == kViewAge));
      if (!plan[i].mWrite) {
        continue;
      }
      ++writes;
      const bool versioned = plan[i].mKind == RegisterKind::Version;
      CHECK((!versioned || written.insert(plan[i].mStatement).second));
    }
    CHECK(writes >= one.mLeastWrites);
    CHECK(writes <= one.mMostWrites);
  }
  RegisterHistory history;
  CHECK(MakeMix("other", {}, history) == nullptr);
}
