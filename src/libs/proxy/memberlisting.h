#pragma once

#include "core/timetypes.h"
#include "proxy/memberentry.h"

#include <cstdint>
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
 *
 * A store that returns to an older state shows older entries until the members have
 * written again. Entries that are missing then are retained in the same way, and what a
 * member has reported isn't replaced by an older report.
 */
class MemberListing
{
public:
  /** Sets whether the directory's store is reachable. */
  void SetStoreReachable(bool aIsReachable, TimePoint aNow);
  /** Learns that the store has returned to an older state, if the incarnation is newer
   * than a known one. */
  void OnIncarnation(std::uint64_t aIncarnation, TimePoint aNow);
  /** Replaces all entries by the directory's current ones. */
  void OnEntries(std::span<const MemberEntry> aEntries, TimePoint aNow);

  /** @return listed members, including retained entries */
  [[nodiscard]] std::vector<MemberEntry> Listed(TimePoint aNow) const;
  /** @return when Expire has to be called next, or TimePoint::max() when no entry is
   * retained or held back */
  [[nodiscard]] TimePoint NextChange() const;
  /**
   * Removes retained entries that have expired, and uses the entries that were held back
   * until now.
   *
   * @return whether the list has changed
   */
  bool Expire(TimePoint aNow);

private:
  struct RetainedEntry
  {
    MemberEntry mEntry;
    TimePoint mUntil;
  };

  /** Newest report of a member, where the store has incarnations. */
  struct Report
  {
    MemberEntry mEntry;
    TimePoint mListedAt;
  };

  /** @return the entry, or the newest report of the member if the entry is an older one
   */
  MemberEntry Newest(const MemberEntry& aEntry, TimePoint aNow);
  /** Remembers the reports that a later return of the store could hide. */
  void Remember(TimePoint aNow);
  /** @return whether members may be missing because of an outage or a return */
  [[nodiscard]] bool IsAroundOutage(TimePoint aNow) const;

  std::map<std::string, MemberEntry> mEntries;
  std::map<std::string, RetainedEntry> mRetained;
  /** Entries of earlier starts than the known ones, by the clocks of the members; each is
   * used if the member hasn't written again by its time. */
  std::map<std::string, RetainedEntry> mHeldBack;
  /** Reports of listed members, and of members that have disappeared lately. */
  std::map<std::string, Report> mReports;
  bool mIsStoreReachable = true;
  /** When the store became reachable again after an outage. */
  std::optional<TimePoint> mStoreRegainedAt;
  /** Newest incarnation of the store that is known; 0 if it announces none. */
  std::uint64_t mIncarnation = 0;
  /** When the last return of the store to an older state became known. */
  std::optional<TimePoint> mReturnedAt;
};

} // namespace papayaspindle::proxy
