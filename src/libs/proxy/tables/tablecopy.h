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

/** A copy of a table as of a revision, which only moves on. */
class TableCopy
{
public:
  [[nodiscard]] const TableRows& Rows() const { return mRows; }
  /** @return the revision up to which all changes are known; 0 for nothing */
  [[nodiscard]] std::uint64_t Revision() const { return mRevision; }

  /** Takes all rows. @return whether they were news; older ones are ignored */
  bool Replace(std::span<const StoredRow> aRows, std::uint64_t aRevision);
  /** Takes changes that follow the copy's revision. @return whether there were any */
  bool Apply(std::span<const ChangedRow> aChanges, std::uint64_t aRevision);
  /** Takes what a reader knows. @return whether there were changes */
  bool Take(const RelayAnswer& aAnswer);
  /** @return what changed after a revision; all rows where removals may be missing */
  [[nodiscard]] RelayAnswer ChangesAfter(std::uint64_t aRevision) const;

private:
  TableRows mRows;
  std::uint64_t mRevision = 0;
  /** Newest removals, and the revision after which none is missing. */
  std::deque<std::pair<std::uint64_t, std::string>> mRemoved;
  std::uint64_t mRemovalsSince = 0;
};

} // namespace papayaspindle::proxy
