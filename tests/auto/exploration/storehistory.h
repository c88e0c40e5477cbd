#pragma once

#include "core/timetypes.h"
#include "proxy/memberentry.h"
#include "proxy/proxyconfiguration.h"
#include "proxy/rowstore.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace papayaspindle::exploration {

using namespace std::chrono_literals;

/** What the store holds at a time. */
struct StoreState
{
  TimePoint mAt;
  std::uint64_t mRevision = 0;
  std::map<std::pair<std::string, std::string>, proxy::StoredRow> mRows;
  /** The members' entries by group. */
  std::map<std::string, std::vector<proxy::MemberEntry>> mDirectory;
  /** The operator's configuration; null before the first one. */
  std::shared_ptr<const proxy::ProxyConfiguration> mConfiguration;
};

/** Past states of the store, to which it may return. */
class StoreHistory
{
public:
  void Keep(StoreState aState)
  {
    const TimePoint now = aState.mAt;
    mStates.push_back(std::move(aState));
    while (now - mStates.front().mAt > kKept) {
      mStates.pop_front();
    }
  }

  /** Drops the states after a time. @return the newest one of the others, or the oldest
   * kept one */
  StoreState ReturnTo(TimePoint aTime)
  {
    while (mStates.size() > 1 && mStates.back().mAt > aTime) {
      mStates.pop_back();
    }
    return mStates.empty() ? StoreState() : mStates.back();
  }

private:
  /** Greatest age of a copy that the store comes back from. */
  static constexpr Duration kKept = 21s;

  std::deque<StoreState> mStates;
};

} // namespace papayaspindle::exploration
