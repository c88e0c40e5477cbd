#pragma once

#include "core/hooks.h"
#include "core/timetypes.h"
#include "decision/membership/instancetable.h"
#include "decision/membership/membershipactions.h"
#include "decision/membership/membershipsettings.h"
#include "decision/membership/pausedetector.h"
#include "decision/membership/probescheduler.h"
#include "decision/membership/updatequeue.h"
#include "decision/membership/urgentpropagation.h"

#include <cstddef>
#include <map>
#include <optional>
#include <span>

namespace papayaspindle {

/** Reply to a probe, and the actions that follow from the probe. */
struct ProbeAnswer
{
  ProbeMessage mReply;
  MembershipActions mActions;
};

/**
 * Membership protocol of one entry instance: it decides which instances to probe and
 * keeps track of which are live or leaving.
 *
 * Not thread-safe. The caller calls Tick a few times a second and carries out the
 * actions.
 */
class Membership
{
public:
  /**
   * @param aSelf this instance; its incarnation must be above that of any earlier process
   * with this name
   */
  Membership(const InstanceInfo& aSelf, MembershipSettings aSettings, RandomHook aRandom);

  MembershipActions Tick(TimePoint aNow);
  /** Answers a probe. If mTarget is set, the caller also probes the target before it
   * replies, with the message from MakeHelperProbe. */
  ProbeAnswer HandleProbe(const ProbeMessage& aProbe, TimePoint aNow);
  /** @return a probe of the target on behalf of another instance, or nothing if the table
   * has no such instance */
  std::optional<SendProbe> MakeHelperProbe(const InstanceId& aTarget, TimePoint aNow);
  MembershipActions HandleReply(ProbeId aProbe,
                                const ProbeMessage& aReply,
                                TimePoint aNow);
  /** Handles a probe that was not answered in time. */
  MembershipActions HandleNoReply(ProbeId aProbe, TimePoint aNow);
  /** Discards a probe that could not be sent. */
  void AbandonProbe(ProbeId aProbe);
  MembershipActions HandleListing(std::span<const ListedCandidate> aListed,
                                  TimePoint aNow);
  MembershipActions AnnounceLeaving(TimePoint aNow);

  [[nodiscard]] const InstanceTable& Table() const { return mTable; }
  /** @return whether this instance is a delegate of its zone */
  [[nodiscard]] bool IsZoneDelegate();
  /** @return whether this instance may act as keeper; false from a pause of this instance
   * until a peer has answered, unless no other instance is live */
  [[nodiscard]] bool MayActAsKeeper(TimePoint aNow) const;

private:
  struct ProbeInFlight
  {
    ProbeKind mKind = ProbeKind::Round;
    InstanceId mReceiver;
    /** Target of an indirect probe. */
    InstanceId mTarget;
    TimePoint mSentAt;
  };

  ProbeMessage MakeMessage();
  SendProbe MakeProbe(const InstanceInfo& aReceiver, ProbeKind aKind, TimePoint aNow);
  void SendScheduledProbes(TimePoint aNow, MembershipActions& aActions);
  void SendUrgentUpdates(TimePoint aNow, MembershipActions& aActions);
  void SendIndirectProbes(const InstanceId& aTarget,
                          TimePoint aNow,
                          MembershipActions& aActions);
  void RecordIndirectResult(const ProbeInFlight& aProbe,
                            bool aAnswered,
                            TimePoint aNow,
                            MembershipActions& aActions);
  void MarkUnresponsive(const InstanceId& aTarget,
                        TimePoint aNow,
                        MembershipActions& aActions);
  /** Resets dead instances if aSender is the first instance of the own zone from which a
   * message arrives after all others of the zone were considered dead. */
  void CheckIsolationEnded(const InstanceInfo& aSender);
  void MergeMessage(const ProbeMessage& aMessage,
                    TimePoint aNow,
                    MembershipActions& aActions);
  /** Propagates a change to peers and listeners.
   *
   * @param aIsOrigin whether this instance detected the change */
  void PropagateChange(const InstanceInfo& aChanged,
                       bool aIsOrigin,
                       TimePoint aNow,
                       MembershipActions& aActions);
  void PropagateUrgently(const InstanceInfo& aChanged, bool aIsOrigin, TimePoint aNow);

  MembershipSettings mSettings;
  InstanceTable mTable;
  UpdateQueue mUpdates;
  UrgentPropagation mUrgentUpdates;
  ProbeScheduler mScheduler;
  PauseDetector mPauseDetector;
  ProbeId mLastProbe = 0;
  /** Result of IsZoneDelegate() at the table's version mIsDelegateVersion. */
  bool mIsDelegate = false;
  std::uint64_t mIsDelegateVersion = 0;
  std::map<ProbeId, ProbeInFlight> mProbesInFlight;
  /** For each target, the number of indirect probes that have no result yet. */
  std::map<InstanceId, std::size_t> mPendingIndirectProbes;
};

} // namespace papayaspindle
