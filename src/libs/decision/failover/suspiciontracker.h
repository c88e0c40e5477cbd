#pragma once

#include "core/ids.h"
#include "core/timetypes.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>

namespace papayaspindle {

/** What a poll without an answer showed. */
enum class PollFailure : std::uint8_t
{
  /** The host refused the connection: the process is gone. */
  Refused,
  Silent,
};

/** Thresholds of suspicion. */
struct SuspicionSettings
{
  /** A 500 ms pause of a member must stay below. */
  std::chrono::milliseconds mSilent{ 1000 };
  std::chrono::milliseconds mRefused{ 300 };
  /** Added for each rank, so that a later home acts only when earlier ones did not. */
  std::chrono::milliseconds mPerRank{ 500 };
  /** A longer gap between ticks is a pause of this process, not silence of members. */
  std::chrono::milliseconds mOwnPause{ 400 };
};

/** Decides which members of one group are suspect, from the answers to polls. */
class SuspicionTracker
{
public:
  explicit SuspicionTracker(const SuspicionSettings& aSettings);

  /** Called regularly; discounts pauses of this process. */
  void OnTick(TimePoint aNow);
  void OnAnswer(const MemberId& aMember, TimePoint aNow);
  void OnFailure(const MemberId& aMember, PollFailure aFailure, TimePoint aNow);

  /**
   * @param aRank this instance's rank among the group's homes
   * @return the evidence when the member is suspect, else nothing
   */
  [[nodiscard]] std::optional<PollFailure> Suspicion(const MemberId& aMember,
                                                     int aRank,
                                                     TimePoint aNow) const;

  /** @return whether a poll failed since the member's last answer */
  [[nodiscard]] bool HasFailed(const MemberId& aMember) const;
  /** @return time without an answer; zero for a member that was never polled */
  [[nodiscard]] Duration Silence(const MemberId& aMember, TimePoint aNow) const;

private:
  struct State
  {
    /** The first poll's time before any answer. */
    TimePoint mLastAnswer;
    /** Last failure since the last answer. */
    std::optional<PollFailure> mFailure;
  };

  State& StateOf(const MemberId& aMember, TimePoint aNow);

  SuspicionSettings mSettings;
  std::optional<TimePoint> mLastTick;
  std::map<MemberId, State> mStates;
};

} // namespace papayaspindle
