#pragma once

#include "backend.pb.h"
#include "core/logposition.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace papayaspindle::standin {

/** A member's log, with the index of the request ids in it. */
class MemberLog
{
public:
  /** @return the last entry's position; 0/0 for an empty log */
  [[nodiscard]] LogPosition Last() const;
  /** @return the position of the entry with that index; 0/0 for none */
  [[nodiscard]] LogPosition PositionAt(std::uint64_t aIndex) const;
  /** @return the entry with that index, which must exist */
  [[nodiscard]] const v1::LogEntry& EntryAt(std::uint64_t aIndex) const;
  /** @return the entry that recorded the request id, or null */
  [[nodiscard]] const v1::LogEntry* FindRequest(const std::string& aRequestId) const;

  /**
   * Appends an entry whose index follows the last one and whose term is not lower.
   *
   * @return whether it was appended
   */
  bool Append(v1::LogEntry aEntry);
  /** Drops every entry after an index, with its request ids. */
  void TruncateAfter(std::uint64_t aIndex);

  /** @return the last position of each term, lowest term first */
  [[nodiscard]] std::vector<LogPosition> TermEnds() const;
  /**
   * @param aTermEnds the last position of each term in another log, lowest term first
   * @return the last position that both logs hold. A term has one primary, so two logs
   * that hold an entry of a term agree up to the lower of their ends of that term.
   */
  [[nodiscard]] LogPosition CommonWith(const std::vector<LogPosition>& aTermEnds) const;
  /** @return up to aLimit entries after an index */
  [[nodiscard]] std::vector<v1::LogEntry> EntriesAfter(std::uint64_t aIndex,
                                                       std::size_t aLimit) const;

private:
  std::vector<v1::LogEntry> mEntries;
  std::map<std::string, std::uint64_t> mIndexByRequest;
};

} // namespace papayaspindle::standin
