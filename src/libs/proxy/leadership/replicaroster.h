#pragma once

#include "core/timetypes.h"
#include "proxy/memberentry.h"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace papayaspindle::proxy {

/**
 * Members of a group that may have received acknowledged commits: the listed members, and
 * those that have left the directory a short time ago. A member that only can't reach the
 * store leaves the directory although it continues to receive and acknowledge commits.
 *
 * The roster is kept in a row of the shared store, so that a process also counts members
 * that left the directory before its start.
 */
class ReplicaRoster
{
public:
  /**
   * Updates the roster.
   *
   * @param aListed members that the directory lists now
   * @param aStored value of the roster's row; empty if there is none
   */
  void Update(std::span<const MemberEntry> aListed,
              std::string_view aStored,
              TimePoint aNow);
  /** @return members that are not listed and may have received acknowledged commits
   * @param aListed members that the directory lists now, which may be fewer than at the
   * last update */
  [[nodiscard]] std::vector<std::string> Departed(
    std::span<const MemberEntry> aListed) const;
  /** @return value that the roster's row should have */
  [[nodiscard]] const std::string& StoredValue() const { return mStoredValue; }

private:
  struct Entry
  {
    /** Address while the member was listed; empty if this process has not seen it. */
    std::string mAddress;
    /** Since when the member has not been listed; empty while it is. */
    std::optional<TimePoint> mDepartedAt;
  };

  std::map<std::string, Entry, std::less<>> mEntries;
  /** Members of the stored row that this process has forgotten. */
  std::set<std::string, std::less<>> mForgotten;
  std::string mStoredValue;
};

} // namespace papayaspindle::proxy
