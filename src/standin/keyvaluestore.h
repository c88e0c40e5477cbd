#pragma once

#include "standin/keyvalueaccess.h"

#include <compare>
#include <cstdint>
#include <map>

namespace papayaspindle::standin {

/** State of a prefix, compared to find out whether anything below it changed. */
struct PrefixState
{
  std::uint64_t mKeys = 0;
  /** Highest log index that changed one of the keys. */
  std::uint64_t mChangedAt = 0;

  bool operator==(const PrefixState&) const = default;
};

/** The committed keys and values, each with the log index of its last change. */
class KeyValueStore : public KeyValueAccess
{
public:
  std::optional<std::string> Find(const std::string& aKey) override;
  std::vector<KeyValue> Scan(const std::string& aPrefix) override;
  void Put(const std::string& aKey, const std::string& aValue) override;
  void Erase(const std::string& aKey) override;

  /** Names the log index of the changes that follow. */
  void SetChangeIndex(std::uint64_t aIndex) { mChangeIndex = aIndex; }
  /** @return log index of the key's last change; 0 when the key does not exist */
  [[nodiscard]] std::uint64_t ChangedAt(const std::string& aKey) const;
  [[nodiscard]] PrefixState StateOf(const std::string& aPrefix) const;
  void Clear();

private:
  struct Value
  {
    std::string mText;
    std::uint64_t mChangedAt = 0;
  };
  std::map<std::string, Value> mValues;
  std::uint64_t mChangeIndex = 0;
};

} // namespace papayaspindle::standin
