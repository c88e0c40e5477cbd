#pragma once

#include "core/groupsettings.h"
#include "core/groupview.h"
#include "core/logposition.h"
#include "daemon/statements/statementhooks.h"

#include <cstddef>
#include <cstdint>
#include <memory>

namespace papayaspindle {

class FreshnessBoard;
class Groups;
class MemberControl;

/** How a wait for replication ended. */
enum class ReplicationOutcome : std::uint8_t
{
  /** A majority holds the position in its term. */
  Acknowledged,
  /** A later term began; the position's fate is open. */
  Superseded,
  DeadlinePassed,
};

/** A position of the primary's log that has to survive every failover. */
struct ReplicationTarget
{
  GroupSettings mGroup;
  /** The primary that answered, and its term. */
  GroupView mView;
  /** Position in the answer; it may be of an older term. */
  LogPosition mAnswered;
  TimePoint mDeadline;
};

/** Limits of the waits. */
struct ReplicationSettings
{
  std::size_t mThreads = 32;
  /** Calls in flight to one member; one call serves all waits that its reply satisfies.
   */
  std::size_t mCallsPerMember = 4;
  /** How long a member may hold one call. */
  std::chrono::milliseconds mCallTimeout{ 250 };
  /** Pause before a member that did not help is asked again. */
  std::chrono::milliseconds mRepeatPause{ 5 };
  /** Age of a report that still confirms a read of the primary. */
  std::chrono::milliseconds mConfirmationWindow{ 500 };
};

/**
 * Waits until the members report a position, with few calls for many waits.
 *
 * Thread-safe. Lock order: its lock is taken before those of FreshnessBoard and Groups.
 */
class ReplicationWatch
{
public:
  struct References
  {
    MemberControl& mMembers;
    Groups& mGroups;
    FreshnessBoard& mFreshness;
  };

  ReplicationWatch(const References& aReferences,
                   const ReplicationSettings& aSettings,
                   StatementHooks aHooks);
  /** Waits for calls in flight. */
  ~ReplicationWatch();

  /** Waits until a write is acknowledged. */
  ReplicationOutcome WaitUntilAcknowledged(const ReplicationTarget& aTarget);
  /** Waits until what a read of the primary saw is certain and recently so. */
  ReplicationOutcome WaitUntilConfirmed(const ReplicationTarget& aTarget);

private:
  struct Private;
  std::unique_ptr<Private> mPrivate;
};

} // namespace papayaspindle
