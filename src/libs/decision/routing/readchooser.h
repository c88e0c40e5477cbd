#pragma once

#include "core/groupsettings.h"
#include "core/groupview.h"
#include "decision/routing/freshnesstable.h"
#include "decision/routing/readaction.h"

#include <cstdint>
#include <functional>
#include <set>

namespace papayaspindle {

/** Policy by which reads are routed to members. */
enum class ReadPolicy : std::uint8_t
{
  /** Every read goes to the primary. */
  PrimaryOnly,
  /** Reads of a session that has written to the group go to the primary. */
  PrimaryAfterWrite,
  /** Reads go to the primary if no replica is proven fresh enough. */
  ImmediateFallback,
  /** Reads may wait once, for at most mMaxReplicaWait, for a replica that is predicted to
   * catch up in that time. */
  BoundedWait,
};

/** Settings of the instance for reads. */
struct ReadSettings
{
  ReadPolicy mPolicy = ReadPolicy::BoundedWait;
  Duration mMaxReplicaWait = std::chrono::milliseconds(20);
  /** Maximum staleness of reads that state none; 0 sends such reads to the primary. */
  Duration mDefaultMaxStaleness{};
};

/** A read for which a member is chosen. */
struct ReadRequest
{
  GroupSettings mGroup;
  GroupView mView;
  /** Position of the session's last acknowledged write to the group. */
  LogPosition mSessionPosition;
  /** Maximum staleness that the read states; 0 if it states none. */
  Duration mMaxStaleness{};
  AvailabilityZone mOwnZone;
  TimePoint mNow;
  /** Time until the read's deadline. */
  Duration mTimeLeft{};
  /** Members that have already failed this read. */
  std::set<MemberId> mExcluded;
  /** Whether the read has already waited for a replica; it then does not wait again. */
  bool mHasWaited = false;
};

/** Chooses the member that serves a read. */
class ReadChooser
{
public:
  /** @return number of statements that this instance is running at the member */
  using LoadHook = std::function<std::uint64_t(const MemberId&)>;

  /** @param aLoad may be empty; then all members count as equally loaded */
  explicit ReadChooser(ReadSettings aSettings, LoadHook aLoad = {});

  [[nodiscard]] ReadAction Choose(const ReadRequest& aRequest,
                                  const FreshnessTable& aFreshness) const;
  /** @return maximum staleness of the read, from the read or else the settings; 0 means
   * that it must go to the primary */
  [[nodiscard]] Duration MaxStaleness(const ReadRequest& aRequest) const;

private:
  /** @return the group's usable replicas of the view's term; those of the own zone first,
   * then those with less load */
  [[nodiscard]] std::vector<MemberProgress> UsableReplicas(
    const ReadRequest& aRequest,
    const FreshnessTable& aFreshness) const;

  ReadSettings mSettings;
  LoadHook mLoad;
};

} // namespace papayaspindle
