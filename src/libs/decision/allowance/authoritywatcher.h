#pragma once

#include "core/timetypes.h"
#include "decision/allowance/authorityrow.h"

#include <cstdint>
#include <optional>

namespace papayaspindle {

/** Watches an authority row of another process until it may be taken over. */
class AuthorityWatcher
{
public:
  /**
   * @param aRow the row as it was read
   * @param aNow when the answer arrived, not when the read was sent: the row may have
   * been renewed between the two
   */
  void OnRow(const AuthorityRow& aRow, TimePoint aNow);

  /** @return the row as it was last seen; nothing before the first reading */
  [[nodiscard]] const std::optional<AuthorityRow>& Row() const;
  /**
   * @param aEpoch epoch of a claim
   * @return whether the authority of that epoch is known to be over
   */
  [[nodiscard]] bool IsOver(std::uint64_t aEpoch) const;
  /**
   * @return whether the row was seen unchanged for kTakeoverWait, so that it may be
   * changed by compare-and-set with the version of Row()
   */
  [[nodiscard]] bool MayTakeOver(TimePoint aNow) const;

private:
  std::optional<AuthorityRow> mRow;
  TimePoint mFirstSeen;
};

/**
 * @param aRow the row of a process whose authority has lapsed
 * @return the row to write in its place; the old process's renewals then conflict
 */
AuthorityRow Revoked(const AuthorityRow& aRow);

} // namespace papayaspindle
