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
 * This process's own authority. Each cycle reads the row and then writes it by
 * compare-and-set with the version read.
 */
class AuthorityHolder
{
public:
  /** @param aProcess unique for each process, also under the same instance name */
  explicit AuthorityHolder(std::string aProcess);

  /** @return whether the next cycle of read and write is due */
  [[nodiscard]] bool IsDue(TimePoint aNow) const;

  /**
   * Takes the row as it was read; a write whose answer was lost is resolved here.
   *
   * @param aRow the row; version 0 when there is none
   * @param aNow when the answer arrived
   * @return the row to write with the version to expect in it; nothing while another
   * process's authority may still hold, or when the row shows a recent renewal. The
   * authority is counted from aNow, so the write must be sent after this call.
   */
  std::optional<AuthorityRow> OnRow(const AuthorityRow& aRow, TimePoint aNow);

  /** @param aSerial serial of the write that is known to be committed */
  void OnCommitted(std::uint64_t aSerial);
  /** The cycle failed, or its outcome is not known. */
  void OnFailed(TimePoint aNow);

  /**
   * Ends the authority at once, for an orderly shutdown.
   *
   * @param aRow the row as it was read
   * @return the row to write, or nothing when the row is not this process's
   */
  std::optional<AuthorityRow> GiveUp(const AuthorityRow& aRow);

  /** @return the epoch of the authority, or nothing when it does not hold at aNow */
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
  AuthorityWatcher mForeign;
  std::uint64_t mEpoch = 0;
  std::optional<TimePoint> mValidUntil;
  std::optional<TimePoint> mNextCycle;
  bool mGivenUp = false;
};

} // namespace papayaspindle
