#pragma once

#include "core/ids.h"
#include "core/timetypes.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>

namespace papayaspindle {

/** How a poll failed. */
enum class PollFailure : std::uint8_t
{
  /** The host refused the connection, so the member's process is not running. */
  Refused,
  /** No answer arrived in time. */
  Unresponsive,
};

/** Times without an answer after which a member is suspect. */
struct SuspicionSettings
{
  /** Threshold after unanswered polls; long enough that a 500 ms pause of a member causes
   * no suspicion. */
  std::chrono::milliseconds mSilentThreshold{ 1000 };
  /** Threshold after refused connections. */
  std::chrono::milliseconds mRefusedThreshold{ 300 };
  /** Added for each rank, so that a lower-ranked home acts only if the homes before it
   * did not. */
  std::chrono::milliseconds mDelayPerRank{ 500 };
  /** A longer gap between ticks means that this process was paused; the time without
   * answers then starts over for all members. */
  std::chrono::milliseconds mMaxTickGap{ 400 };
};

/** Decides from the answers to polls which members of one group are suspect. */
class SuspicionTracker
{
public:
  explicit SuspicionTracker(const SuspicionSettings& aSettings);

  /** Must be called regularly; a long gap between calls resets all suspicions. */
  void OnTick(TimePoint aNow);
  void OnAnswer(const MemberId& aMember, TimePoint aNow);
  void OnFailure(const MemberId& aMember, PollFailure aFailure, TimePoint aNow);

  /**
   * @param aRank this instance's rank among the group's homes
   * @return how the last poll failed if the member is suspect, else nothing
   */
  [[nodiscard]] std::optional<PollFailure> Suspicion(const MemberId& aMember,
                                                     int aRank,
                                                     TimePoint aNow) const;

  /** @return whether a poll has failed since the member's last answer */
  [[nodiscard]] bool HasFailed(const MemberId& aMember) const;
  /** @return time since the member's last answer; zero before the first poll */
  [[nodiscard]] Duration Silence(const MemberId& aMember, TimePoint aNow) const;

private:
  struct PollState
  {
    /** Before the first answer, the time of the first failed poll. */
    TimePoint mLastAnswerAt;
    /** Latest failure since the last answer. */
    std::optional<PollFailure> mFailure;
  };

  PollState& FindOrAddState(const MemberId& aMember, TimePoint aNow);

  SuspicionSettings mSettings;
  std::optional<TimePoint> mLastTick;
  std::map<MemberId, PollState> mStates;
};

} // namespace papayaspindle
