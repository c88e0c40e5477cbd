#pragma once

#include "core/logposition.h"
#include "core/timetypes.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace papayaspindle::exploration {

/** A commit in a member's log. */
struct LogEntry
{
  std::uint64_t mTerm = 0;
  /** Number of the commit, unique in the group. */
  std::uint64_t mNumber = 0;
  TimePoint mCommittedAt;
};

/** State of one member; SimulatedGroup replicates and promotes, MemberServer runs
 * statements. */
struct SimulatedMember
{
  std::string mId;
  std::string mZone;
  std::uint32_t mSlots = 3;
  bool mIsAlive = true;
  bool mIsPrimary = false;
  bool mIsDraining = false;
  std::uint64_t mTerm = 1;
  /** Term for which the member is paused; 0 while it receives entries. */
  std::uint64_t mPausedTerm = 0;
  /** Number of the member's process, which the directory tells as a start time. */
  std::uint64_t mProcess = 1;
  std::vector<LogEntry> mLog;
  /** Index of each commit in mLog. */
  std::map<std::uint64_t, std::size_t> mIndexOf;
  /** Number of entries that reads see. */
  std::size_t mApplied = 0;
  Duration mReceiveLag{};
  Duration mApplyLag{};
  /** Factor of the time that statements take. */
  int mSlowness = 1;
  /** Since when the member has been connected to the newest leader. */
  std::optional<TimePoint> mConnectedSince;
  TimePoint mLastHeartbeat;

  [[nodiscard]] LogPosition PositionAt(std::size_t aCount) const
  {
    return aCount == 0 ? LogPosition{} : LogPosition{ mLog[aCount - 1].mTerm, aCount };
  }
  [[nodiscard]] LogPosition Applied() const { return PositionAt(mApplied); }
  [[nodiscard]] LogPosition Received() const { return PositionAt(mLog.size()); }
  [[nodiscard]] bool HasReceived(std::uint64_t aNumber) const
  {
    return mIndexOf.contains(aNumber);
  }
  [[nodiscard]] bool HasApplied(std::uint64_t aNumber) const
  {
    const auto found = mIndexOf.find(aNumber);
    return found != mIndexOf.end() && found->second < mApplied;
  }

  void Append(const LogEntry& aEntry)
  {
    mIndexOf[aEntry.mNumber] = mLog.size();
    mLog.push_back(aEntry);
  }

  /** Drops the entries that the leader lacks, and receives those that are older than the
   * member's lag. */
  void Follow(const SimulatedMember& aLeader, TimePoint aNow)
  {
    std::size_t common = std::min(mLog.size(), aLeader.mLog.size());
    while (common > 0 && mLog[common - 1].mNumber != aLeader.mLog[common - 1].mNumber) {
      common--;
    }
    while (mLog.size() > common) {
      mIndexOf.erase(mLog.back().mNumber);
      mLog.pop_back();
    }
    mTerm = aLeader.mTerm;
    for (std::size_t index = common; index < aLeader.mLog.size(); index++) {
      if (aLeader.mLog[index].mCommittedAt > aNow - mReceiveLag) {
        break;
      }
      Append(aLeader.mLog[index]);
    }
    mApplied = std::min(mApplied, mLog.size());
  }

  void Apply(TimePoint aNow)
  {
    while (mApplied < mLog.size() &&
           (mIsPrimary || mLog[mApplied].mCommittedAt <= aNow - mApplyLag)) {
      mApplied++;
    }
  }
};

} // namespace papayaspindle::exploration
