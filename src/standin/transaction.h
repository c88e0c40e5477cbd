#pragma once

#include "standin/keyvaluestore.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace papayaspindle::standin {

/**
 * Buffered writes of an open transaction over the store, and what it read.
 *
 * It commits only when nothing that it read or wrote has changed since.
 */
class Transaction : public KeyValueAccess
{
public:
  /** @param aStore outlives the transaction */
  explicit Transaction(KeyValueStore& aStore)
    : mStore(&aStore)
  {
  }

  std::optional<std::string> Find(const std::string& aKey) override;
  std::vector<KeyValue> Scan(const std::string& aPrefix) override;
  void Put(const std::string& aKey, const std::string& aValue) override;
  void Erase(const std::string& aKey) override;

  /** Remembers a write statement that ran, for the log entry. */
  void AddStatement(std::string aText) { mStatements.push_back(std::move(aText)); }
  /** @return the write statements, in order */
  [[nodiscard]] const std::vector<std::string>& Statements() const { return mStatements; }
  /** @return whether everything it read is still as it was */
  [[nodiscard]] bool IsCurrent() const;

private:
  void NoteKey(const std::string& aKey);

  KeyValueStore* mStore;
  /** Nothing means erased. */
  std::map<std::string, std::optional<std::string>> mWrites;
  std::map<std::string, std::uint64_t> mSeenKeys;
  std::map<std::string, PrefixState> mSeenPrefixes;
  std::vector<std::string> mStatements;
};

} // namespace papayaspindle::standin
