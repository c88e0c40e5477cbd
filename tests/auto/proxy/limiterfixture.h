#pragma once

#include "proxy/customers/limitertable.h"

#include <algorithm>
#include <set>
#include <string>
#include <vector>

namespace papayaspindle::proxy {

using namespace std::chrono_literals;

inline const std::string kSelf = "i0";

/** @return instances i0, i1, ..., distributed over three zones */
inline std::vector<RegisteredInstance>
Instances(std::size_t aCount, const std::set<std::string>& aLeaving = {})
{
  std::vector<RegisteredInstance> instances;
  for (std::size_t index = 0; index < aCount; index++) {
    const std::string name = "i" + std::to_string(index);
    instances.push_back({ name,
                          "z" + std::to_string(index % 3),
                          "127.0.0.1:1",
                          1,
                          aLeaving.contains(name) });
  }
  return instances;
}

/** A table of the instance i0, and customers chosen by their limiters. */
struct LimiterFixture
{
  void Set(std::span<const RegisteredInstance> aInstances,
           StartKind aStart = StartKind::New)
  {
    mTable.SetInstances(aInstances, aStart, mNow);
  }

  bool IsInCharge(std::string_view aCustomer) const
  {
    return mTable.InChargeSince(aCustomer, mNow).has_value();
  }

  /** Advances the time while the process runs and, unless the store is out of reach,
   * rewrites its row. */
  void Advance(Duration aTime)
  {
    for (const TimePoint end = mNow + aTime; mNow < end;) {
      mNow = std::min(mNow + 3s, end);
      mTable.OnActivity(mNow);
      WriteRow();
      for (const std::string& peer : mAnswering) {
        mTable.OnPeerAnswered(peer, mNow);
      }
    }
  }

  void WriteRow()
  {
    if (mReachesStore) {
      mRow.mWrittenAt = mNow;
      mTable.OnOwnRow(mRow, mNow);
    }
  }

  /** @return a customer of which i0 is a limiter among the first few instances, but not
   * among more */
  static std::string CustomerThatMoves(std::size_t aFew, std::size_t aMany)
  {
    for (int number = 0;; number++) {
      const std::string name = "customer-" + std::to_string(number);
      if (IsLimiter(name, aFew) && !IsLimiter(name, aMany)) {
        return name;
      }
    }
  }

  static bool IsLimiter(const std::string& aCustomer, std::size_t aInstances)
  {
    LimiterTable table(kSelf, "z0", {});
    table.SetInstances(Instances(aInstances), StartKind::New, {});
    const auto limiters = table.LimitersOf(aCustomer, {});
    return std::find(limiters.begin(), limiters.end(), kSelf) != limiters.end();
  }

  TimePoint mNow{ 1h };
  bool mReachesStore = true;
  /** Row of an instance of a small deployment. */
  ConfirmedRow mRow{ {}, 9600ms, 3s };
  /** Instances that answer this one's messages. */
  std::set<std::string> mAnswering;
  LimiterTable mTable{ kSelf, "z0", mNow };
};

} // namespace papayaspindle::proxy
