#include "proxy/memberlisting.h"

#include <algorithm>

namespace papayaspindle::proxy {

namespace {

// Live members are listed again about 2 s after the store's recovery.
constexpr Duration kReappearanceTime = std::chrono::milliseconds(2300);

} // namespace

void
MemberListing::SetStoreReachable(bool aIsReachable, TimePoint aNow)
{
  if (aIsReachable && !mIsStoreReachable) {
    mStoreRegainedAt = aNow;
  }
  mIsStoreReachable = aIsReachable;
}

void
MemberListing::OnEntries(std::span<const MemberEntry> aEntries, TimePoint aNow)
{
  std::map<std::string, MemberEntry> entries;
  for (const MemberEntry& entry : aEntries) {
    entries.emplace(entry.mId, entry);
    mRetained.erase(entry.mId);
  }
  const bool isAroundOutage =
    !mIsStoreReachable ||
    (mStoreRegainedAt && aNow - *mStoreRegainedAt < kReappearanceTime);
  for (const auto& [id, entry] : mEntries) {
    // A member that was draining is expected to disappear, so its entry is not retained.
    if (!entries.contains(id) && isAroundOutage && !entry.mDraining) {
      mRetained[id] = { entry, mStoreRegainedAt.value_or(aNow) + kReappearanceTime };
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
  for (const auto& [id, retained] : mRetained) {
    if (retained.mUntil > aNow) {
      listed.push_back(retained.mEntry);
    }
  }
  return listed;
}

TimePoint
MemberListing::NextChange() const
{
  TimePoint next = TimePoint::max();
  for (const auto& [id, retained] : mRetained) {
    next = std::min(next, retained.mUntil);
  }
  return next;
}

bool
MemberListing::Expire(TimePoint aNow)
{
  return std::erase_if(mRetained, [&](const auto& aEntry) {
           return aEntry.second.mUntil <= aNow;
         }) > 0;
}

} // namespace papayaspindle::proxy
