#include "proxy/leadership/replicaroster.h"

#include "proxy/leadership/promotiontimes.h"

#include <algorithm>
#include <utility>

namespace papayaspindle::proxy {

namespace {

std::vector<std::string_view>
SplitIds(std::string_view aText)
{
  std::vector<std::string_view> ids;
  while (!aText.empty()) {
    const std::size_t blank = aText.find(' ');
    if (blank != 0) {
      ids.push_back(aText.substr(0, blank));
    }
    aText =
      blank == std::string_view::npos ? std::string_view() : aText.substr(blank + 1);
  }
  return ids;
}

} // namespace

void
ReplicaRoster::Update(std::span<const MemberEntry> aListed,
                      std::string_view aStored,
                      TimePoint aNow)
{
  std::set<std::string, std::less<>> listed;
  std::set<std::string, std::less<>> addresses;
  for (const MemberEntry& entry : aListed) {
    mEntries[entry.mId] = { entry.mAddress, std::nullopt };
    mForgotten.erase(entry.mId);
    listed.insert(entry.mId);
    addresses.insert(entry.mAddress);
  }
  for (const std::string_view id : SplitIds(aStored)) {
    if (!mEntries.contains(id) && !mForgotten.contains(id)) {
      mEntries[std::string(id)].mDepartedAt = aNow;
    }
  }
  for (auto entry = mEntries.begin(); entry != mEntries.end();) {
    std::optional<TimePoint>& departedAt = entry->second.mDepartedAt;
    if (!listed.contains(entry->first) && !departedAt) {
      departedAt = aNow;
    }
    // The address of a member that runs isn't used by another one.
    const bool isReplaced = departedAt && !entry->second.mAddress.empty() &&
                            addresses.contains(entry->second.mAddress);
    const bool isExpired = departedAt && aNow - *departedAt >= kDepartedMemberRetention;
    if (isReplaced || isExpired) {
      mForgotten.insert(entry->first);
      entry = mEntries.erase(entry);
    } else {
      ++entry;
    }
  }
  // Departed members are never added to the row: instances that forget a member at
  // different times would overwrite each other's rows without end.
  std::set<std::string, std::less<>> stored = listed;
  std::set<std::string, std::less<>> forgotten;
  for (const std::string_view id : SplitIds(aStored)) {
    (mForgotten.contains(id) ? forgotten : stored).emplace(id);
  }
  mForgotten = std::move(forgotten);
  mStoredValue.clear();
  for (const std::string& id : stored) {
    mStoredValue += (mStoredValue.empty() ? "" : " ") + id;
  }
}

std::vector<std::string>
ReplicaRoster::Departed(std::span<const MemberEntry> aListed) const
{
  std::vector<std::string> departed;
  for (const auto& [id, entry] : mEntries) {
    const bool isListed = std::any_of(
      aListed.begin(), aListed.end(), [&member = id](const MemberEntry& aMember) {
        return aMember.mId == member;
      });
    if (!isListed) {
      departed.push_back(id);
    }
  }
  return departed;
}

} // namespace papayaspindle::proxy
