#include "standin/keyvaluestore.h"

#include <algorithm>

namespace papayaspindle::standin {

std::optional<std::string>
KeyValueStore::Find(const std::string& aKey)
{
  const auto found = mValues.find(aKey);
  if (found == mValues.end()) {
    return std::nullopt;
  }
  return found->second.mText;
}

std::vector<KeyValue>
KeyValueStore::Scan(const std::string& aPrefix)
{
  std::vector<KeyValue> pairs;
  for (auto at = mValues.lower_bound(aPrefix);
       at != mValues.end() && at->first.starts_with(aPrefix);
       ++at) {
    pairs.push_back({ at->first, at->second.mText });
  }
  return pairs;
}

void
KeyValueStore::Put(const std::string& aKey, const std::string& aValue)
{
  mValues[aKey] = { aValue, mChangeIndex };
}

void
KeyValueStore::Erase(const std::string& aKey)
{
  mValues.erase(aKey);
}

std::uint64_t
KeyValueStore::ChangedAt(const std::string& aKey) const
{
  const auto found = mValues.find(aKey);
  return found == mValues.end() ? 0 : found->second.mChangedAt;
}

PrefixState
KeyValueStore::StateOf(const std::string& aPrefix) const
{
  PrefixState state;
  for (auto at = mValues.lower_bound(aPrefix);
       at != mValues.end() && at->first.starts_with(aPrefix);
       ++at) {
    ++state.mKeys;
    state.mChangedAt = std::max(state.mChangedAt, at->second.mChangedAt);
  }
  return state;
}

void
KeyValueStore::Clear()
{
  mValues.clear();
  mChangeIndex = 0;
}

} // namespace papayaspindle::standin
