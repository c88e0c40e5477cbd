#include "standin/transaction.h"

#include <algorithm>

namespace papayaspindle::standin {

std::optional<std::string>
Transaction::Find(const std::string& aKey)
{
  if (const auto written = mWrites.find(aKey); written != mWrites.end()) {
    return written->second;
  }
  NoteKey(aKey);
  return mStore->Find(aKey);
}

std::vector<KeyValue>
Transaction::Scan(const std::string& aPrefix)
{
  mSeenPrefixes.try_emplace(aPrefix, mStore->StateOf(aPrefix));
  std::map<std::string, std::string> merged;
  for (KeyValue& pair : mStore->Scan(aPrefix)) {
    merged[std::move(pair.mKey)] = std::move(pair.mValue);
  }
  for (const auto& [key, value] : mWrites) {
    if (!key.starts_with(aPrefix)) {
      continue;
    }
    if (value.has_value()) {
      merged[key] = *value;
    } else {
      merged.erase(key);
    }
  }
  std::vector<KeyValue> pairs;
  for (const auto& [key, value] : merged) {
    pairs.push_back({ key, value });
  }
  return pairs;
}

void
Transaction::Put(const std::string& aKey, const std::string& aValue)
{
  NoteKey(aKey);
  mWrites[aKey] = aValue;
}

void
Transaction::Erase(const std::string& aKey)
{
  NoteKey(aKey);
  mWrites[aKey] = std::nullopt;
}

bool
Transaction::IsCurrent() const
{
  const bool keysAreCurrent =
    std::all_of(mSeenKeys.begin(), mSeenKeys.end(), [this](const auto& aSeen) {
      return mStore->ChangedAt(aSeen.first) == aSeen.second;
    });
  return keysAreCurrent &&
         std::all_of(
           mSeenPrefixes.begin(), mSeenPrefixes.end(), [this](const auto& aSeen) {
             return mStore->StateOf(aSeen.first) == aSeen.second;
           });
}

void
Transaction::NoteKey(const std::string& aKey)
{
  mSeenKeys.try_emplace(aKey, mStore->ChangedAt(aKey));
}

} // namespace papayaspindle::standin
