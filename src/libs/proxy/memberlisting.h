#pragma once

#include "core/timetypes.h"
#include "proxy/memberentry.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace papayaspindle::proxy {

/**
 * List of current members, derived from the directory's entries and the availability of
 * its store.
 *
 * Directory entries also expire for live members while the store is unavailable, and
 * reappear soon after its recovery. Entries that disappear around an outage are therefore
 * retained for a limited time.
 */
class MemberListing
{
public:
  /** Sets whether the directory's store is reachable. */
  void SetStoreReachable(bool aIsReachable, TimePoint aNow);
  /** Replaces all entries by the directory's current ones. */
  void OnEntries(std::span<const MemberEntry> aEntries, TimePoint aNow);

  /** @return listed members, including retained entries */
  [[nodiscard]] std::vector<MemberEntry> Listed(TimePoint aNow) const;
  /** @return when the next retained entry expires, or TimePoint::max() when there is none
   */
  [[nodiscard]] TimePoint NextChange() const;
  /**
   * Removes retained entries that have expired.
   *
   * @return whether any entry was removed
   */
  bool Expire(TimePoint aNow);

private:
  struct RetainedEntry
  {
    MemberEntry mEntry;
    TimePoint mUntil;
  };

  std::map<std::string, MemberEntry> mEntries;
  std::map<std::string, RetainedEntry> mRetained;
  bool mIsStoreReachable = true;
  /** When the store became reachable again after an outage. */
  std::optional<TimePoint> mStoreRegainedAt;
};

} // namespace papayaspindle::proxy
