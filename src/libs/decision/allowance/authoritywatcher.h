#pragma once

#include "core/timetypes.h"
#include "decision/allowance/authorityrow.h"

#include <cstdint>
#include <optional>

namespace papayaspindle {

/** Observes the authority row of another process until it may be taken over. */
class AuthorityWatcher
{
public:
  /**
   * Stores the row if its version is higher than that of the stored row.
   *
   * @param aRow the row that was read
   * @param aNow when the answer to the read arrived. The time when the read was sent
   * would be too early, because the row may have been renewed since.
   */
  void OnRow(const AuthorityRow& aRow, TimePoint aNow);

  /** @return the latest row; nothing before the first read */
  [[nodiscard]] const std::optional<AuthorityRow>& Row() const;
  /**
   * @param aEpoch epoch under which a claim was made
   * @return whether the authority of that epoch is known to have ended
   */
  [[nodiscard]] bool HasEpochEnded(std::uint64_t aEpoch) const;
  /**
   * @return whether the row has ended or stayed unchanged for kTakeoverWait. It may then
   * be replaced by compare-and-set with the version of Row().
   */
  [[nodiscard]] bool MayTakeOver(TimePoint aNow) const;

private:
  std::optional<AuthorityRow> mRow;
  TimePoint mUnchangedSince;
};

/**
 * @param aRow the row of a process whose authority has expired
 * @return the row that replaces it; later renewals by that process then conflict
 */
AuthorityRow RevokedRow(const AuthorityRow& aRow);

} // namespace papayaspindle
