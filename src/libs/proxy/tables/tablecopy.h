#pragma once

#include "core/timetypes.h"
#include "proxy/tables/relaymessages.h"
#include "proxy/tables/tablechanges.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <utility>

namespace papayaspindle::proxy {

/** Rows of a table by key. */
using TableRows = std::map<std::string, StoredRow>;

/** A copy of a table as of a revision. The revision never decreases. */
class TableCopy
{
public:
  [[nodiscard]] const TableRows& Rows() const { return mRows; }
  /** @return the revision up to which the copy contains all changes; 0 for an empty copy
   */
  [[nodiscard]] std::uint64_t Revision() const { return mRevision; }

  /** Replaces all rows, unless the copy is newer. @return whether they were replaced */
  bool Replace(std::span<const StoredRow> aRows, std::uint64_t aRevision);
  /** Applies the changes that are newer than the copy. @return whether there were any */
  bool Apply(std::span<const ChangedRow> aChanges, std::uint64_t aRevision);
  /** Applies the rows or changes of a reader's answer. @return whether the copy changed
   */
  bool ApplyAnswer(const RelayAnswer& aAnswer);
  /** @return the changes after a revision; all rows if older removals were dropped */
  [[nodiscard]] RelayAnswer ChangesAfter(std::uint64_t aRevision) const;

private:
  TableRows mRows;
  std::uint64_t mRevision = 0;
  /** Revisions and keys of the newest removals. */
  std::deque<std::pair<std::uint64_t, std::string>> mRemoved;
  /** Revision after which mRemoved is complete. */
  std::uint64_t mRemovalsSince = 0;
};

} // namespace papayaspindle::proxy
