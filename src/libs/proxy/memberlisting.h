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
 * The members that count as listed, from what the directory says and when it could be
 * read.
 *
 * Entries lapse while the directory's store is away, also of members that live; these are
 * back soon after its return. An entry that goes missing around an outage is therefore
 * kept for a while.
 */
class MemberListing
{
public:
  /** The store can't be read any more, or answers again. */
  void OnContact(bool aIsInContact, TimePoint aNow);
  /** Takes all entries that the directory has now. */
  void OnEntries(std::span<const MemberEntry> aEntries, TimePoint aNow);

  /** @return listed members, kept ones included */
  [[nodiscard]] std::vector<MemberEntry> Listed(TimePoint aNow) const;
  /** @return when a kept entry ends, or the end of time */
  [[nodiscard]] TimePoint NextChange() const;
  /** Drops kept entries whose time is over. @return whether there were any */
  bool Expire(TimePoint aNow);

private:
  struct Kept
  {
    MemberEntry mEntry;
    TimePoint mUntil;
  };

  std::map<std::string, MemberEntry> mEntries;
  std::map<std::string, Kept> mKept;
  bool mIsInContact = true;
  /** When the store answered again after an outage. */
  std::optional<TimePoint> mRegainedAt;
};

} // namespace papayaspindle::proxy
