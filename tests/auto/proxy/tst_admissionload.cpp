// Compares the order by customer with the one without customers under load patterns.

#include "admissionsimulation.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>

using namespace papayaspindle;
using namespace papayaspindle::proxy;

namespace {

constexpr double kUsualPerSecond = 330;
// Percent points of a customer's statements.
constexpr double kTolerance = 0.1;
constexpr std::size_t kLarge = 0;
constexpr std::size_t kMedian = kCustomers / 2;

/** Results of both rules for the same loads. */
struct Comparison
{
  std::vector<CustomerResult> mUrgency = std::vector<CustomerResult>(kCustomers);
  std::vector<CustomerResult> mByCustomer = std::vector<CustomerResult>(kCustomers);

  template<typename Setup>
  Comparison(const std::string& aName, std::uint64_t aSeeds, const Setup& aSetup)
  {
    std::size_t waiting = 0;
    Duration servedToday{};
    Duration served{};
    for (std::uint64_t seed = 1; seed <= aSeeds; seed++) {
      AdmissionLoad load(seed);
      aSetup(load);
      AdmissionSimulation today(load, AdmissionRule::Urgency);
      AdmissionSimulation byCustomer(load, AdmissionRule::ByCustomer);
      const auto before = today.Run();
      const auto after = byCustomer.Run();
      servedToday += today.mServed;
      served += byCustomer.mServed;
      waiting = std::max(waiting, byCustomer.mMaxWaiting);
      for (std::size_t customer = 0; customer < kCustomers; customer++) {
        mUrgency[customer] += before[customer];
        mByCustomer[customer] += after[customer];
      }
    }
    fmt::print("{}: at most {} waiting, members work {} s without customers and {} s by "
               "customer\n",
               aName,
               waiting,
               servedToday / 1s,
               served / 1s);
    Print("smallest tenth", kCustomers * 9 / 10, kCustomers);
    Print("median", kMedian, kMedian + 1);
    Print("middle tenth", kMedian - 4, kMedian + 4);
    Print("large", kLarge, kLarge + 1);
    Print("all but large", kLarge + 1, kCustomers);
    Print("all", 0, kCustomers);
  }

  static CustomerResult Sum(const std::vector<CustomerResult>& aResults,
                            std::size_t aFrom,
                            std::size_t aTo)
  {
    CustomerResult sum;
    for (std::size_t customer = aFrom; customer < aTo; customer++) {
      sum += aResults[customer];
    }
    return sum;
  }

  void Print(std::string_view aName, std::size_t aFrom, std::size_t aTo) const
  {
    const CustomerResult urgency = Sum(mUrgency, aFrom, aTo);
    const CustomerResult byCustomer = Sum(mByCustomer, aFrom, aTo);
    fmt::print(
      "  {:<15} {:>7} sent; without customers {:>5} late {:>6} refused {:7.3f}%; "
      "by customer {:>5} late {:>6} refused {:7.3f}%\n",
      aName,
      urgency.mSent,
      urgency.mLate,
      urgency.mRefused,
      urgency.PercentBad(),
      byCustomer.mLate,
      byCustomer.mRefused,
      byCustomer.PercentBad());
  }

  /** @return largest increase of a customer's late and refused statements, in percent
   * points */
  [[nodiscard]] double WorstIncrease() const
  {
    double worst = -100;
    for (std::size_t customer = 0; customer < kCustomers; customer++) {
      worst = std::max(
        worst, mByCustomer[customer].PercentBad() - mUrgency[customer].PercentBad());
    }
    return worst;
  }
};

} // namespace

TEST_CASE("even load is served as without customers")
{
  const Comparison result(
    "even load", 2, [](AdmissionLoad& aLoad) { aLoad.Add(0s, 20s, kUsualPerSecond); });
  REQUIRE(result.WorstIncrease() <= kTolerance);
}

TEST_CASE("a burst of one kind of request makes no customer worse")
{
  for (std::size_t kind = 0; kind < kKinds.size(); kind++) {
    const Comparison result(
      "burst of kind " + std::to_string(kind), 4, [&](AdmissionLoad& aLoad) {
        aLoad.Add(0s, 8s, kUsualPerSecond);
        aLoad.Add(3s, 5s, kUsualPerSecond * 1.5, {}, kind);
      });
    CHECK(result.WorstIncrease() <= kTolerance);
  }
}

// Guards against a customer that displaces all others by its number of statements.
TEST_CASE("one customer at 6 to 9 times its usual load delays itself only")
{
  for (const std::size_t flooding : { kLarge, kLarge + 2 }) {
    const Comparison result(
      fmt::format("customer {} sends 6 to 9 times its usual load", flooding),
      4,
      [&](AdmissionLoad& aLoad) {
        const double factor = 6 + 3 * aLoad.Fraction();
        const double extra = AdmissionLoad::ShareOf(flooding) * (factor - 1);
        // A smaller customer exceeds the capacity only at a higher usual load.
        const double usual = kUsualPerSecond * (flooding == kLarge ? 1 : 1.3);
        aLoad.Add(0s, 12s, usual);
        aLoad.Add(2s, 10s, usual * extra, flooding);
      });
    for (const auto& [from, to] : { std::pair(kCustomers * 9 / 10, kCustomers),
                                    std::pair(kMedian, kMedian + 1),
                                    std::pair(kMedian - 4, kMedian + 4) }) {
      const CustomerResult urgency = Comparison::Sum(result.mUrgency, from, to);
      CHECK(urgency.mLate + urgency.mRefused > 0);
      CHECK(Comparison::Sum(result.mByCustomer, from, to).PercentBad() <=
            urgency.PercentBad() / 2);
    }
  }
}

// Guards against refusals because of kept statements that take the last connections.
TEST_CASE("clients that rest in transactions cause hardly more refusals than before")
{
  const Comparison result("resting transactions", 12, [](AdmissionLoad& aLoad) {
    aLoad.Add(0s, 12s, kUsualPerSecond);
    // The proxy ends transactions that have been idle for 3 s.
    aLoad.Add(2s, 10s, 5, {}, 2, 3s);
  });
  for (const auto& [from, to] :
       { std::pair(kLarge, kLarge + 1), std::pair(kLarge + 1, kCustomers) }) {
    CHECK(Comparison::Sum(result.mByCustomer, from, to).PercentBad() <=
          Comparison::Sum(result.mUrgency, from, to).PercentBad() + kTolerance);
  }
}
