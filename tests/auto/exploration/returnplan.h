#pragma once

#include "exploration/exploration.h"

#include <string>
#include <vector>

namespace papayaspindle::exploration {

/** Returns of the store to older states at random times of a sequence, some of which
 * restart instances, too. Has its own random numbers. */
class ReturnPlan
{
public:
  ReturnPlan(Exploration& aExploration, std::uint64_t aSeed)
    : mExploration(aExploration)
    , mContext(aExploration.mContext)
    , mRandom(aSeed ^ kSeedMask)
  {
  }

  /** Schedules one to three returns within a time, and some within seconds of another. */
  void Schedule(Duration aWithin)
  {
    const std::uint64_t count = 1 + mRandom.Below(3);
    for (std::uint64_t index = 0; index < count; index++) {
      const Duration at = mRandom.Between(0ms, aWithin);
      ScheduleAt(at);
      if (mRandom.Chance(300)) {
        ScheduleAt(std::min(aWithin, at + mRandom.Between(300ms, 3s)));
      }
    }
  }

  /** Lets no further instance be killed. */
  void End() { mIsOver = true; }

private:
  static constexpr std::uint64_t kSeedMask = 0x5e7a11ULL;
  // Three heartbeats of a member take 1.5 s.
  static constexpr Duration kMaxMemberHeartbeat = 500ms;

  void ScheduleAt(Duration aDelay)
  {
    const Duration age = mRandom.Between(1s, 20s);
    const Duration away = mRandom.Chance(300) ? Duration() : mRandom.Between(5ms, 1500ms);
    mContext.mClock.After(aDelay, [this, age, away] {
      Return(age, away);
      RestartSome();
    });
  }

  void Return(Duration aAge, Duration aAway)
  {
    const TimePoint now = mContext.mClock.Now();
    const auto directory = mExploration.mStore.ReturnTo(now - aAge, aAway);
    for (const auto& [name, group] : mExploration.mGroups) {
      const auto entries = directory.find(name);
      group->ReturnDirectory(
        entries == directory.end() ? std::vector<proxy::MemberEntry>() : entries->second,
        [&] { return aAway + mRandom.Between(0ms, kMaxMemberHeartbeat); });
    }
    mContext.mClock.After(aAway + mRandom.Between(200ms, 2s),
                          [this] { mExploration.StoreConfiguration(); });
  }

  /** Kills all instances, or one after another as in a release, or none. */
  void RestartSome()
  {
    const std::uint64_t kind = mRandom.Below(10);
    if (kind > 2) {
      return;
    }
    Duration delay = mRandom.Between(0ms, 2s);
    for (const auto& [name, instance] : mExploration.mInstances) {
      if (kind == 1 && mRandom.Chance(500)) {
        continue;
      }
      const Duration downtime = mRandom.Between(100ms, 1500ms);
      mContext.mClock.After(delay, [this, name = name, downtime] {
        if (mIsOver) {
          return;
        }
        mExploration.KillInstance(name, false);
        mContext.mClock.After(downtime,
                              [this, name] { mExploration.StartInstance(name); });
      });
      if (kind == 2) {
        delay += downtime;
      }
    }
  }

  Exploration& mExploration;
  ExplorationContext& mContext;
  RandomSource mRandom;
  bool mIsOver = false;
};

} // namespace papayaspindle::exploration
