#pragma once

#include "core/timetypes.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace papayaspindle {

/** What a home tells the other homes of its group about a member. */
struct MemberLoadReport
{
  /** Average number of the home's statements at the member. */
  double mAverageInFlight = 0;
  /** Whether the member takes longer than the best member of the group, for any reason.
   */
  bool mIsSlow = false;
  /** Whether it takes longer than the number of statements at it explains. */
  bool mIsUneven = false;
};

/** How long a member takes for a statement, as a home has measured it. */
struct MemberSpeed
{
  /** Cost of a statement as a multiple of the usual time. */
  double mRelativeCost = 1;
  /** The lowest such cost of the members of the group. */
  double mBestRelativeCost = 1;
  std::uint32_t mSlots = 1;
};

/**
 * Decides, at one home, whether this home leaves the reads at a member to another home.
 *
 * A member that runs fewer statements well than its group has homes can't be relieved by
 * limits of single homes, because each of them sends at least one statement. While the
 * homes agree that a member is uneven, only the home with the smallest name sends reads
 * to it. A home that hears nothing from the others decides alone.
 */
class MemberSharing
{
public:
  /** Interval at which Update has to be called. */
  static constexpr Duration kInterval = std::chrono::milliseconds(250);

  /** Records the number of this home's statements at the member after a change. */
  void OnInFlight(std::uint32_t aInFlight, TimePoint aNow);
  /** Records a report of another home of the group. */
  void OnReport(const std::string& aHome,
                const MemberLoadReport& aReport,
                TimePoint aNow);
  /** @return report for the other homes; nothing while the member is as fast as the
   * others for all homes */
  std::optional<MemberLoadReport> Update(const MemberSpeed& aSpeed, TimePoint aNow);
  /**
   * @param aHome name of this home
   * @return whether another home sends the group's reads to the member
   */
  [[nodiscard]] bool LeavesReads(const std::string& aHome, TimePoint aNow) const;

private:
  struct Heard
  {
    TimePoint mAt;
    double mAverageInFlight = 0;
  };

  void UpdateAverage(TimePoint aNow);
  void UpdateExpectedCost(std::uint32_t aSlots);
  [[nodiscard]] bool IsUneven(TimePoint aNow) const;

  std::map<std::string, Heard> mHeard;
  std::uint32_t mInFlight = 0;
  TimePoint mInFlightSince;
  /** Sum of time multiplied by number of statements since the last update. */
  Duration mOccupied{};
  TimePoint mUpdatedAt;
  double mAverageInFlight = 0;
  /** Relative cost that the statements of all homes explain. */
  double mExpectedCost = 1;
  std::uint32_t mUnevenUpdates = 0;
  /** When any home has last found the member slow or uneven. */
  std::optional<TimePoint> mSlowAt;
  std::optional<TimePoint> mUnevenAt;
};

} // namespace papayaspindle
