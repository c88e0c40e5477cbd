#pragma once

#include "core/hooks.h"
#include "core/timetypes.h"
#include "decision/membership/instancetable.h"
#include "decision/membership/membershipactions.h"
#include "decision/membership/membershipsettings.h"
#include "decision/membership/pausedetector.h"
#include "decision/membership/probescheduler.h"
#include "decision/membership/updatequeue.h"
#include "decision/membership/urgentspread.h"

#include <cstddef>
#include <map>
#include <optional>
#include <span>

namespace papayaspindle {

/** Reply to a probe, and what follows from the probe. */
struct ProbeAnswer
{
  ProbeMessage mReply;
  MembershipActions mActions;
};

/**
 * Membership of one entry instance: who is live, who leaves, whom to probe.
 *
 * Not thread-safe. The caller ticks it a few times a second and carries out the actions.
 */
class Membership
{
public:
  /**
   * @param aSelf this instance; its incarnation is above that of any earlier process
   * under this name
   */
  Membership(const InstanceInfo& aSelf, MembershipSettings aSettings, RandomHook aRandom);

  MembershipActions Tick(TimePoint aNow);
  /** Answers a probe. When mTarget is set, the caller also probes the target, with the
   * message from HelpProbe, before it replies. */
  ProbeAnswer HandleProbe(const ProbeMessage& aProbe, TimePoint aNow);
  /** @return the probe of another's target, or nothing when the target is unknown here */
  std::optional<SendProbe> HelpProbe(const InstanceId& aTarget, TimePoint aNow);
  MembershipActions HandleReply(ProbeId aProbe,
                                const ProbeMessage& aReply,
                                TimePoint aNow);
  MembershipActions HandleSilence(ProbeId aProbe, TimePoint aNow);
  /** The probe was not sent; nothing follows from it. */
  void AbandonProbe(ProbeId aProbe);
  MembershipActions HandleListing(std::span<const ListedCandidate> aListed,
                                  TimePoint aNow);
  MembershipActions AnnounceLeaving(TimePoint aNow);

  [[nodiscard]] const InstanceTable& Table() const { return mTable; }
  /** @return whether this instance is a delegate of its zone */
  [[nodiscard]] bool IsZoneDelegate();
  /** @return whether this instance may act as keeper; false after a pause until a peer
   * answered, unless no other instance is live */
  [[nodiscard]] bool MayActAsKeeper(TimePoint aNow) const;

private:
  struct Flight
  {
    ProbeKind mKind = ProbeKind::Round;
    InstanceId mReceiver;
    /** Of an indirect probe. */
    InstanceId mTarget;
    TimePoint mSent;
  };

  ProbeMessage MakeMessage();
  SendProbe MakeProbe(const InstanceInfo& aReceiver, ProbeKind aKind, TimePoint aNow);
  void SendDue(TimePoint aNow, MembershipActions& aActions);
  void SendUrgent(TimePoint aNow, MembershipActions& aActions);
  void SendIndirect(const InstanceId& aTarget,
                    TimePoint aNow,
                    MembershipActions& aActions);
  void NoteIndirect(const Flight& aFlight,
                    bool aAnswered,
                    TimePoint aNow,
                    MembershipActions& aActions);
  void NoteSilent(const InstanceId& aTarget, TimePoint aNow, MembershipActions& aActions);
  /** Drops all verdicts when the sender is the first of the own zone to be heard again.
   */
  void EndIsolation(const InstanceInfo& aSender);
  void MergeMessage(const ProbeMessage& aMessage,
                    TimePoint aNow,
                    MembershipActions& aActions);
  /** @param aOriginated whether this instance is the first to know of the change */
  void NoteChange(const InstanceInfo& aChanged,
                  bool aOriginated,
                  TimePoint aNow,
                  MembershipActions& aActions);
  void SpreadUrgently(const InstanceInfo& aChanged, bool aOriginated, TimePoint aNow);

  MembershipSettings mSettings;
  InstanceTable mTable;
  UpdateQueue mUpdates;
  UrgentSpread mUrgent;
  ProbeScheduler mScheduler;
  PauseDetector mPause;
  ProbeId mLastProbe = 0;
  /** Result of IsZoneDelegate() at a version of the table. */
  bool mDelegate = false;
  std::uint64_t mDelegateVersion = 0;
  std::map<ProbeId, Flight> mFlights;
  /** Indirect probes of a target that have not ended. */
  std::map<InstanceId, std::size_t> mIndirect;
};

} // namespace papayaspindle
