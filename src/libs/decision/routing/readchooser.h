#pragma once

#include "core/groupsettings.h"
#include "core/groupview.h"
#include "decision/routing/freshnesstable.h"
#include "decision/routing/readaction.h"

#include <cstdint>
#include <functional>
#include <set>

namespace papayaspindle {

/** Where reads go. */
enum class ReadPolicy : std::uint8_t
{
  /** Every read goes to the primary. */
  PrimaryOnly,
  /** A session that wrote to the group reads from its primary. */
  PrimaryAfterWrite,
  /** A replica that is not known to be caught up is passed over. */
  ImmediateFallback,
  /** A replica that is predicted to catch up within the bound is waited for. */
  BoundedWait,
};

/** What the instance sets for reads. */
struct ReadSettings
{
  ReadPolicy mPolicy = ReadPolicy::BoundedWait;
  Duration mMaxReplicaWait = std::chrono::milliseconds(20);
  /** Age that a read without a stated age accepts; 0 sends such reads to the primary. */
  Duration mDefaultMaxStaleness{};
};

/** One read to place. */
struct ReadQuestion
{
  GroupSettings mGroup;
  GroupView mView;
  /** Position of the session's last acknowledged write to the group. */
  LogPosition mSession;
  /** Oldest data that the read accepts; 0 when it states none. */
  Duration mMaxStaleness{};
  AvailabilityZone mOwnZone;
  TimePoint mNow;
  Duration mTimeLeft{};
  /** Members that failed this read already. */
  std::set<MemberId> mExcluded;
  /** Set once the read has waited for a replica: it does not wait again. */
  bool mHasWaited = false;
};

/** Chooses the member that serves a read. */
class ReadChooser
{
public:
  /** @return statements that this instance runs at the member now */
  using LoadHook = std::function<std::uint64_t(const MemberId&)>;

  /** @param aLoad may be empty: all members are loaded the same */
  explicit ReadChooser(ReadSettings aSettings, LoadHook aLoad = {});

  [[nodiscard]] ReadAction Choose(const ReadQuestion& aQuestion,
                                  const FreshnessTable& aFreshness) const;
  /** @return the age that the read accepts; 0 when it accepts none */
  [[nodiscard]] Duration MaxStaleness(const ReadQuestion& aQuestion) const;

private:
  /** @return the group's usable replicas of the view's term, best first */
  [[nodiscard]] std::vector<MemberProgress> Replicas(
    const ReadQuestion& aQuestion,
    const FreshnessTable& aFreshness) const;

  ReadSettings mSettings;
  LoadHook mLoad;
};

} // namespace papayaspindle
