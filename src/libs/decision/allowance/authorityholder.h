#pragma once

#include "core/timetypes.h"
#include "decision/allowance/authorityrow.h"
#include "decision/allowance/authoritywatcher.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace papayaspindle {

/**
 * Acquires and renews the authority of this process. Each cycle reads the authority row
 * and then writes it by compare-and-set with the version that was read.
 */
class AuthorityHolder
{
public:
  /** @param aProcess id that differs between processes of the same instance name */
  explicit AuthorityHolder(std::string aProcess);

  /** @return whether the next cycle of read and write is due */
  [[nodiscard]] bool IsDue(TimePoint aNow) const;

  /**
   * Processes the row that was read. If the row contains a write of this process whose
   * answer was lost, the write counts as committed.
   *
   * @param aRow the row; its version is 0 when it does not exist
   * @param aNow when the answer to the read arrived
   * @return the row to write, with the expected version in mVersion; nothing while the
   * authority of another process may still be valid, or when the row shows a recent
   * renewal. The duration of the authority is counted from aNow, so the write must be
   * sent after this call.
   */
  std::optional<AuthorityRow> OnRow(const AuthorityRow& aRow, TimePoint aNow);

  /** @param aSerial serial of a write that was committed */
  void OnCommitted(std::uint64_t aSerial);
  /** Schedules a retry after a cycle that failed or whose outcome is unknown. */
  void OnCycleFailed(TimePoint aNow);

  /**
   * Ends the authority immediately, for an orderly shutdown.
   *
   * @param aRow the row that was read
   * @return the row to write; nothing when the row belongs to another process or its
   * authority has already ended
   */
  std::optional<AuthorityRow> Relinquish(const AuthorityRow& aRow);

  /** @return the epoch of the authority, or nothing when it is not valid at aNow */
  [[nodiscard]] std::optional<std::uint64_t> ValidEpoch(TimePoint aNow) const;

private:
  struct Attempt
  {
    std::uint64_t mEpoch = 0;
    TimePoint mSentAt;
  };

  [[nodiscard]] bool MayWrite(const AuthorityRow& aRow, TimePoint aNow);

  std::string mProcess;
  std::uint64_t mNextSerial = 1;
  std::map<std::uint64_t, Attempt> mAttempts;
  AuthorityWatcher mOtherProcess;
  std::uint64_t mEpoch = 0;
  std::optional<TimePoint> mValidUntil;
  std::optional<TimePoint> mNextCycle;
  bool mRelinquished = false;
};

} // namespace papayaspindle
