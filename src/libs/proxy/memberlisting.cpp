#include "proxy/memberlisting.h"

#include <algorithm>

namespace papayaspindle::proxy {

namespace {

// Members that live are back about 2 s after the store's return.
constexpr Duration kReturnTime = std::chrono::milliseconds(2300);

} // namespace

void
MemberListing::OnContact(bool aIsInContact, TimePoint aNow)
{
  if (aIsInContact && !mIsInContact) {
    mRegainedAt = aNow;
  }
  mIsInContact = aIsInContact;
}

void
MemberListing::OnEntries(std::span<const MemberEntry> aEntries, TimePoint aNow)
{
  std::map<std::string, MemberEntry> entries;
  for (const MemberEntry& entry : aEntries) {
    entries.emplace(entry.mId, entry);
    mKept.erase(entry.mId);
  }
  const bool isAroundOutage =
    !mIsInContact || (mRegainedAt && aNow - *mRegainedAt < kReturnTime);
  for (const auto& [id, entry] : mEntries) {
    // A member that has said that it leaves is believed to be gone.
    if (!entries.contains(id) && isAroundOutage && !entry.mDraining) {
      mKept[id] = { entry, mRegainedAt.value_or(aNow) + kReturnTime };
    }
  }
  mEntries = std::move(entries);
}

std::vector<MemberEntry>
MemberListing::Listed(TimePoint aNow) const
{
  std::vector<MemberEntry> listed;
  for (const auto& [id, entry] : mEntries) {
    listed.push_back(entry);
  }
  for (const auto& [id, kept] : mKept) {
    if (kept.mUntil > aNow) {
      listed.push_back(kept.mEntry);
    }
  }
  return listed;
}

TimePoint
MemberListing::NextChange() const
{
  TimePoint next = TimePoint::max();
  for (const auto& [id, kept] : mKept) {
    next = std::min(next, kept.mUntil);
  }
  return next;
}

bool
MemberListing::Expire(TimePoint aNow)
{
  return std::erase_if(
           mKept, [&](const auto& aEntry) { return aEntry.second.mUntil <= aNow; }) > 0;
}

} // namespace papayaspindle::proxy
