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

/** A copy of a table as of a revision of an incarnation of the store, neither of which
 * decreases by itself: a newer incarnation may have lower revisions. */
class TableCopy
{
public:
  [[nodiscard]] const TableRows& Rows() const { return mRows; }
  /** @return the revision up to which the copy contains all changes; 0 for an empty copy
   */
  [[nodiscard]] std::uint64_t Revision() const { return mRevision; }
  /** @return the incarnation of the store that the copy was read from */
  [[nodiscard]] std::uint64_t Incarnation() const { return mIncarnation; }
  [[nodiscard]] StoreRevision Version() const { return { mIncarnation, mRevision }; }

  /** Replaces all rows, unless the copy is newer. @return whether they were replaced */
  bool Replace(std::span<const StoredRow> aRows, StoreRevision aVersion);
  /** Applies the changes that are newer than the copy, which have to be of its
   * incarnation. @return whether there were any */
  bool Apply(std::span<const ChangedRow> aChanges, std::uint64_t aRevision);
  /** Applies the rows or changes of a reader's answer; changes of another incarnation are
   * ignored. @return whether the copy changed */
  bool ApplyAnswer(const RelayAnswer& aAnswer);
  /** @return the changes after a revision; all rows if older removals were dropped, or if
   * the revision is of another incarnation */
  [[nodiscard]] RelayAnswer ChangesAfter(StoreRevision aVersion) const;

private:
  TableRows mRows;
  std::uint64_t mRevision = 0;
  std::uint64_t mIncarnation = 0;
  /** Revisions and keys of the newest removals. */
  std::deque<std::pair<std::uint64_t, std::string>> mRemoved;
  /** Revision after which mRemoved is complete. */
  std::uint64_t mRemovalsSince = 0;
};

} // namespace papayaspindle::proxy
