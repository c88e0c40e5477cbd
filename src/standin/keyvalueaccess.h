#pragma once

#include "standin/statement.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace papayaspindle::standin {

/** A key and its value. */
struct KeyValue
{
  std::string mKey;
  std::string mValue;

  bool operator==(const KeyValue&) const = default;
};

/** Where a statement reads and writes: the store itself or a transaction over it. */
class KeyValueAccess
{
public:
  virtual ~KeyValueAccess() = default;

  virtual std::optional<std::string> Find(const std::string& aKey) = 0;
  /** @return pairs with that prefix, by key */
  virtual std::vector<KeyValue> Scan(const std::string& aPrefix) = 0;
  virtual void Put(const std::string& aKey, const std::string& aValue) = 0;
  virtual void Erase(const std::string& aKey) = 0;
};

/** What a statement gave. A failed statement changed nothing. */
struct StatementOutcome
{
  bool mFailed = false;
  std::string mMessage;
  std::vector<std::vector<std::string>> mRows;
  std::uint64_t mAffected = 0;
};

/**
 * Runs one statement.
 *
 * Writes return no rows, so that the log's `affected` is the whole outcome of a write and
 * a repeated request id can return it.
 */
StatementOutcome RunStatement(KeyValueAccess& aAccess, const Statement& aStatement);

} // namespace papayaspindle::standin
