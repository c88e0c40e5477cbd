#pragma once

#include "backend.pb.h"
#include "core/hooks.h"
#include "core/ids.h"
#include "core/timetypes.h"
#include "decision/failover/suspiciontracker.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <vector>

namespace papayaspindle {

class Groups;
class Homes;
class MemberControl;

/** Receives a member's status reply; aAskedAt is from before the request was sent. */
using StatusListener = std::function<
  void(const GroupId&, const MemberId&, const v1::StatusReply&, TimePoint aAskedAt)>;
/** Receives a poll without an answer. */
using PollFailureListener =
  std::function<void(const GroupId&, const MemberId&, PollFailure)>;
/** Runs a task on another thread; returns false when it refuses the task. */
using SubmitHook = std::function<bool(std::function<void()>)>;

/** Intervals and limits of the polls. */
struct MonitorSettings
{
  std::chrono::milliseconds mTick{ 25 };
  /** Of a primary, at the first two homes or while statements flow. */
  std::chrono::milliseconds mPrimaryInterval{ 250 };
  std::chrono::milliseconds mBusyInterval{ 250 };
  std::chrono::milliseconds mIdleInterval{ 1000 };
  /** A group without a statement for this long is idle. */
  std::chrono::milliseconds mIdleAfter{ 2000 };
  std::chrono::milliseconds mTimeout{ 500 };
  /** How often the list of groups that this instance is a home of is made. It ranks the
   * homes of every group, which costs about a microsecond for each. */
  std::chrono::milliseconds mRefresh{ 2000 };
  std::size_t mThreads = 8;
  /** Threads for members whose last poll was not answered, so that they do not delay the
   * others. */
  std::size_t mSilentThreads = 4;
};

/**
 * Polls the members of each group that this instance is a home of.
 *
 * Thread-safe. At most one poll of a member is in flight. Listeners are called on worker
 * threads without any lock held; they must outlive the calls, so Stop() comes before
 * their end. Lock order: its lock is a leaf.
 */
class MemberMonitor
{
public:
  struct References
  {
    Groups& mGroups;
    Homes& mHomes;
    MemberControl& mMembers;
  };

  /** @param aSubmit runs the polls; empty for worker threads of its own */
  MemberMonitor(const References& aReferences,
                const MonitorSettings& aSettings,
                NowHook aNow,
                SubmitHook aSubmit = {});
  /** Stops. */
  ~MemberMonitor();

  /** Adds a listener; called before Start(). */
  void AddStatusListener(StatusListener aListener);
  /** @copydoc AddStatusListener */
  void AddFailureListener(PollFailureListener aListener);

  void Start();
  /** Ends the polls and waits for those in flight; no other call may run or follow. */
  void Stop();

  /** Polls the member at once, unless a poll of it is in flight. */
  void ReportTrafficError(const GroupId& aGroup, const MemberId& aMember);
  /** Notes that a statement for the group was served. */
  void NoteStatement(const GroupId& aGroup);
  /** @return the groups that this instance is a home of */
  [[nodiscard]] std::vector<GroupId> HomeGroups();
  /** Begins the polls that are due; called by the timer. */
  void Tick();

private:
  struct Private;
  std::unique_ptr<Private> mPrivate;
};

} // namespace papayaspindle
