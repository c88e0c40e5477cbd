#pragma once

#include "core/hooks.h"
#include "core/ids.h"
#include "core/instanceinfo.h"
#include "core/timetypes.h"
#include "decision/membership/instancetable.h"
#include "decision/membership/membershipsettings.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <vector>

namespace papayaspindle {

/** Why a probe is sent. */
enum class ProbeKind : std::uint8_t
{
  /** Regular probe of the own zone, one each probe interval, in shuffled rounds. */
  Round,
  /** Probe of a suspect instance, which lets it refute the suspicion. */
  Verify,
  /** Probe of a dead instance that may have returned; has no effect if unanswered. */
  Rejoin,
  /** Probe from a delegate to an instance of another zone. */
  CrossZone,
  /** Request to a helper to probe the target. */
  Indirect,
  /** Probe with an update that must reach all instances within 3 s. */
  Urgent,
  /** Probe by a helper for another instance; has no effect here if unanswered. */
  Help,
};

/** A probe that is due. */
struct ScheduledProbe
{
  InstanceId mTarget;
  ProbeKind mKind = ProbeKind::Round;
  /** Whether the probe requests the table entries that differ. */
  bool mAntiEntropy = false;
};

/** Decides once each probe interval which instances to probe. */
class ProbeScheduler
{
public:
  ProbeScheduler(MembershipSettings aSettings, RandomHook aRandom);

  /**
   * @param aDelegate whether this instance is a delegate of its zone
   * @return the probes that are due; empty between two probe intervals
   */
  std::vector<ScheduledProbe> DueProbes(const InstanceTable& aTable,
                                        bool aDelegate,
                                        TimePoint aNow);
  /** @return up to mIndirectProbes random alive instances of the own zone, without the
   * target */
  std::vector<InstanceInfo> ChooseHelpers(const InstanceTable& aTable,
                                          const InstanceId& aTarget);
  /** Requests anti-entropy with the next probes instead of after the regular interval.
   * Called as long as the tables are found to differ. */
  void RequestAntiEntropy();

private:
  using Probes = std::vector<ScheduledProbe>;

  void AddRoundProbes(const InstanceTable& aTable, Probes& aProbes);
  std::optional<InstanceId> NextRoundTarget(const InstanceTable& aTable);
  void AddVerifyProbes(const InstanceTable& aTable, TimePoint aNow, Probes& aProbes);
  void AddRejoinProbes(const InstanceTable& aTable, TimePoint aNow, Probes& aProbes);
  /** @return whether this instance started less than mJoinPeriod ago and the table has
   * other instances of its zone */
  bool IsJoining(const InstanceTable& aTable, TimePoint aNow);
  void AddCrossZoneProbes(const InstanceTable& aTable, Probes& aProbes);
  /** Adds probes of zones without a live instance, which may have returned. */
  void AddLostZoneProbes(const InstanceTable& aTable,
                         const std::set<AvailabilityZone>& aLiveZones,
                         Probes& aProbes);
  /** When due, marks one probe of the own zone and one of another for anti-entropy. */
  void MarkAntiEntropyProbes(const InstanceTable& aTable,
                             TimePoint aNow,
                             Probes& aProbes);
  std::size_t RandomBelow(std::size_t aBound);
  template<typename Item>
  void Shuffle(std::vector<Item>& aItems);

  MembershipSettings mSettings;
  RandomHook mRandom;
  std::optional<TimePoint> mStartedAt;
  std::optional<TimePoint> mNextProbeAt;
  std::optional<TimePoint> mNextRejoinAt;
  std::optional<TimePoint> mNextAntiEntropyAt;
  std::vector<InstanceId> mRoundTargets;
};

} // namespace papayaspindle
