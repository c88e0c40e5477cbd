#pragma once

#include "core/timetypes.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <optional>
#include <random>
#include <vector>

namespace papayaspindle::proxy {

using namespace std::chrono_literals;

/** Statements of one kind: their route and their mean time at a member. */
struct StatementKindSetup
{
  bool mNeedsPrimary;
  int mPriority;
  Duration mObjective;
  Duration mTimeout;
  Duration mMean;
  double mShare;
};

inline constexpr std::array<StatementKindSetup, 3> kKinds{
  { { false, 1, 150ms, 800ms, 8ms, 0.55 },
    { false, 1, 400ms, 1200ms, 20ms, 0.2 },
    { true, 0, 250ms, 1000ms, 10ms, 0.25 } }
};
inline constexpr std::size_t kCustomers = 80;

/** Random load of one home and one group; the same for each rule that serves it. */
class AdmissionLoad
{
public:
  struct Arrival
  {
    TimePoint mAt;
    std::size_t mCustomer;
    std::size_t mKind;
    Duration mTime;
    /** Time for which the statement's transaction holds its connection afterwards. */
    Duration mRest;
  };

  explicit AdmissionLoad(std::uint64_t aSeed)
    : mEngine(aSeed)
  {
  }

  /** @return expected share of the customer in the usual load */
  static double ShareOf(std::size_t aCustomer)
  {
    double sum = 0;
    for (std::size_t other = 0; other < kCustomers; other++) {
      sum += std::pow(static_cast<double>(other + 1), -1.2);
    }
    return std::pow(static_cast<double>(aCustomer + 1), -1.2) / sum;
  }

  /** Adds statements of one customer, or of all for nothing, and of one kind, or of all
   * for nothing. */
  void Add(Duration aFrom,
           Duration aTo,
           double aPerSecond,
           std::optional<std::size_t> aCustomer = {},
           std::optional<std::size_t> aKind = {},
           Duration aMaxRest = 0ms)
  {
    TimePoint at = kStart + aFrom;
    while (true) {
      at += Exponential(1 / aPerSecond);
      if (at >= kStart + aTo) {
        break;
      }
      const std::size_t kind = aKind ? *aKind : PickKind();
      const std::size_t customer = aCustomer ? *aCustomer : PickCustomer();
      const double mean = std::chrono::duration<double>(kKinds[kind].mMean).count();
      const Duration time = Exponential(mean / 2) + Exponential(mean / 2);
      const auto rest = std::chrono::duration_cast<Duration>(aMaxRest * Fraction());
      mArrivals.push_back({ at, customer, kind, time, rest });
    }
    std::stable_sort(
      mArrivals.begin(),
      mArrivals.end(),
      [](const Arrival& aLeft, const Arrival& aRight) { return aLeft.mAt < aRight.mAt; });
  }

  /** @return number from 0 to 1, both excluded; the distributions of the standard library
   * differ between platforms */
  double Fraction()
  {
    return (static_cast<double>(mEngine() >> 11U) + 0.5) /
           static_cast<double>(1ULL << 53U);
  }

  [[nodiscard]] const std::vector<Arrival>& Arrivals() const { return mArrivals; }

private:
  static constexpr TimePoint kStart{ 1h };

  Duration Exponential(double aMeanSeconds)
  {
    return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(-std::log(Fraction()) * aMeanSeconds));
  }

  std::size_t PickKind()
  {
    const double at = Fraction();
    return at < kKinds[0].mShare ? 0 : at < kKinds[0].mShare + kKinds[1].mShare ? 1 : 2;
  }

  std::size_t PickCustomer()
  {
    double at = Fraction();
    std::size_t customer = 0;
    while (customer + 1 < kCustomers && at >= mShares[customer]) {
      at -= mShares[customer++];
    }
    return customer;
  }

  std::mt19937_64 mEngine;
  std::vector<double> mShares = [] {
    std::vector<double> shares;
    for (std::size_t customer = 0; customer < kCustomers; customer++) {
      shares.push_back(ShareOf(customer));
    }
    return shares;
  }();
  std::vector<Arrival> mArrivals;
};

} // namespace papayaspindle::proxy
