#pragma once

#include <algorithm>
#include <set>
#include <string>
#include <utility>

namespace papayaspindle::exploration {

/** Pairs of processes between which no message passes at present. */
class Connectivity
{
public:
  void Cut(const std::string& aLeft, const std::string& aRight)
  {
    mCuts.insert(std::minmax(aLeft, aRight));
  }
  void Heal(const std::string& aLeft, const std::string& aRight)
  {
    mCuts.erase(std::minmax(aLeft, aRight));
  }
  void HealAll() { mCuts.clear(); }
  [[nodiscard]] bool CanReach(const std::string& aLeft, const std::string& aRight) const
  {
    return !mCuts.contains(std::minmax(aLeft, aRight));
  }

private:
  std::set<std::pair<std::string, std::string>> mCuts;
};

} // namespace papayaspindle::exploration
