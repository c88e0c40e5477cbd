#include "proxy/memberlisting.h"

#include <algorithm>

namespace papayaspindle::proxy {

namespace {

// Live members are listed again about 2 s after the store's recovery.
constexpr Duration kReappearanceTime = std::chrono::milliseconds(2300);
// Time for which the last report of a member that has disappeared is remembered. A store
// may return to a state that is up to 30 s old, and list the member again.
constexpr Duration kReportMemory = std::chrono::seconds(60);

/** @return whether an entry was reported by an earlier process of the member, according
 * to the member's clock */
bool
IsOfEarlierStart(const MemberEntry& aEntry, const MemberEntry& aKnown)
{
  return aEntry.mStartedAtMs != 0 && aEntry.mStartedAtMs < aKnown.mStartedAtMs;
}

/** @return whether an entry was reported before a known one by the same process */
bool
IsEarlierReport(const MemberEntry& aEntry, const MemberEntry& aKnown)
{
  const bool isSameStart =
    aEntry.mStartedAtMs != 0 && aEntry.mStartedAtMs == aKnown.mStartedAtMs;
  if (!isSameStart) {
    return false;
  }
  if (aEntry.mSequence != 0 && aKnown.mSequence != 0) {
    return aEntry.mSequence < aKnown.mSequence;
  }
  // A member that has reported that it drains doesn't become ready in the same process.
  return aKnown.mDraining && !aEntry.mDraining;
}

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
MemberListing::OnIncarnation(std::uint64_t aIncarnation, TimePoint aNow)
{
  if (aIncarnation <= mIncarnation) {
    return;
  }
  if (mIncarnation != 0) {
    mReturnedAt = aNow;
  }
  mIncarnation = aIncarnation;
}

bool
MemberListing::IsAroundOutage(TimePoint aNow) const
{
  return !mIsStoreReachable ||
         (mStoreRegainedAt && aNow - *mStoreRegainedAt < kReappearanceTime) ||
         (mReturnedAt && aNow - *mReturnedAt < kReappearanceTime);
}

MemberEntry
MemberListing::Newest(const MemberEntry& aEntry, TimePoint aNow)
{
  const auto found = mReports.find(aEntry.mId);
  // Within an incarnation, a later revision is a later report.
  if (found == mReports.end() ||
      found->second.mEntry.mIncarnation == aEntry.mIncarnation) {
    return aEntry;
  }
  const MemberEntry& known = found->second.mEntry;
  const bool isEarlier = IsEarlierReport(aEntry, known);
  if (isEarlier && known.mDraining && !aEntry.mDraining) {
    return known;
  }
  // A member writes only what differs from the entry, and the clock of a machine may be
  // set back between two starts: otherwise the order of reports is relied on only until
  // the members have written again.
  const TimePoint rewrittenAt = mReturnedAt.value_or(TimePoint()) + kReappearanceTime;
  if ((isEarlier || IsOfEarlierStart(aEntry, known)) && aNow < rewrittenAt) {
    mHeldBack[aEntry.mId] = { aEntry, rewrittenAt };
    return known;
  }
  return aEntry;
}

void
MemberListing::Remember(TimePoint aNow)
{
  if (mIncarnation == 0) {
    return;
  }
  for (const auto& [id, entry] : mEntries) {
    mReports[id] = { entry, aNow };
  }
  std::erase_if(mReports, [&](const auto& aReport) {
    return !mEntries.contains(aReport.first) && !mRetained.contains(aReport.first) &&
           aNow - aReport.second.mListedAt >= kReportMemory;
  });
}

void
MemberListing::OnEntries(std::span<const MemberEntry> aEntries, TimePoint aNow)
{
  for (const MemberEntry& entry : aEntries) {
    OnIncarnation(entry.mIncarnation, aNow);
  }
  mHeldBack.clear();
  std::map<std::string, MemberEntry> entries;
  for (const MemberEntry& entry : aEntries) {
    entries.emplace(entry.mId, Newest(entry, aNow));
    mRetained.erase(entry.mId);
  }
  const bool isAroundOutage = IsAroundOutage(aNow);
  const TimePoint regainedAt =
    std::max(mStoreRegainedAt.value_or(aNow), mReturnedAt.value_or(TimePoint()));
  for (const auto& [id, entry] : mEntries) {
    // A member that was draining is expected to disappear, so its entry is not retained.
    if (!entries.contains(id) && isAroundOutage && !entry.mDraining) {
      mRetained[id] = { entry, regainedAt + kReappearanceTime };
    }
  }
  mEntries = std::move(entries);
  Remember(aNow);
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
  for (const auto& [id, held] : mHeldBack) {
    next = std::min(next, held.mUntil);
  }
  return next;
}

bool
MemberListing::Expire(TimePoint aNow)
{
  const auto isOver = [&](const auto& aEntry) { return aEntry.second.mUntil <= aNow; };
  for (const auto& [id, held] : mHeldBack) {
    if (held.mUntil <= aNow) {
      mEntries.insert_or_assign(id, held.mEntry);
    }
  }
  const bool hasUsed = std::erase_if(mHeldBack, isOver) > 0;
  return std::erase_if(mRetained, isOver) > 0 || hasUsed;
}

} // namespace papayaspindle::proxy
