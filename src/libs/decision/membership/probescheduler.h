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
  /** The one random probe of the own zone each second. */
  Round,
  /** Of a suspect, so that it can refute. */
  Verify,
  /** Of a dead instance that may be back; silence means nothing. */
  Rejoin,
  /** From a delegate to another zone. */
  CrossZone,
  /** To a helper, which probes the target. */
  Indirect,
  /** Carries an update that must be known within 3 s. */
  Urgent,
  /** As a helper, on behalf of another instance; silence means nothing. */
  Help,
};

/** A probe that is due. */
struct ScheduledProbe
{
  InstanceId mTarget;
  ProbeKind mKind = ProbeKind::Round;
  /** Whether it asks for the table entries that differ. */
  bool mAntiEntropy = false;
};

/** Decides whom to probe, once each probe interval. */
class ProbeScheduler
{
public:
  ProbeScheduler(MembershipSettings aSettings, RandomHook aRandom);

  /**
   * @param aDelegate whether this instance is a delegate of its zone
   * @return the probes that are due; empty between two probe intervals
   */
  std::vector<ScheduledProbe> Due(const InstanceTable& aTable,
                                  bool aDelegate,
                                  TimePoint aNow);
  /** @return up to mIndirectProbes live instances of the own zone, the target aside */
  std::vector<InstanceInfo> Helpers(const InstanceTable& aTable,
                                    const InstanceId& aTarget);
  /** Repeats anti-entropy with the next probes, as long as it brings news. */
  void HastenAntiEntropy();

private:
  using Probes = std::vector<ScheduledProbe>;

  void AddRound(const InstanceTable& aTable, Probes& aProbes);
  std::optional<InstanceId> NextOfRound(const InstanceTable& aTable);
  void AddVerify(const InstanceTable& aTable, TimePoint aNow, Probes& aProbes);
  void AddRejoin(const InstanceTable& aTable, TimePoint aNow, Probes& aProbes);
  /** @return whether this instance still gets to know the others of its zone */
  bool IsJoining(const InstanceTable& aTable, TimePoint aNow);
  void AddCrossZone(const InstanceTable& aTable, Probes& aProbes);
  void AddLostZones(const InstanceTable& aTable,
                    const std::set<AvailabilityZone>& aLiveZones,
                    Probes& aProbes);
  void AddAntiEntropy(const InstanceTable& aTable, TimePoint aNow, Probes& aProbes);
  std::size_t RandomBelow(std::size_t aBound);
  template<typename Item>
  void Shuffle(std::vector<Item>& aItems);

  MembershipSettings mSettings;
  RandomHook mRandom;
  std::optional<TimePoint> mStarted;
  std::optional<TimePoint> mNextProbe;
  std::optional<TimePoint> mNextRejoin;
  std::optional<TimePoint> mNextAntiEntropy;
  std::vector<InstanceId> mRound;
};

} // namespace papayaspindle
