#pragma once

#include "core/ids.h"
#include "core/instanceinfo.h"
#include "core/timetypes.h"
#include "decision/membership/membershipsettings.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace papayaspindle {

/** One instance of the table. */
struct InstanceEntry
{
  InstanceInfo mInfo;
  /** Whether it answered, here or to a peer; a listed instance that did not is a mere
   * candidate and not live. */
  bool mHeard = false;
  bool mListed = false;
  bool mListedLeaving = false;
  /** Whether probes from here failed; only then does a suspicion end in death here. */
  bool mSilentHere = false;
  /** Since when the liveness or the silence holds. */
  TimePoint mSince;
};

/** An instance in the platform's list. */
struct ListedCandidate
{
  InstanceInfo mInfo;
  bool mLeaving = false;
};

/**
 * What is known of the entry instances.
 *
 * Of two reports on an instance the one with the higher (incarnation, liveness) wins,
 * where alive < suspect < leaving < dead, so the order of arrival does not matter.
 */
class InstanceTable
{
public:
  static constexpr std::size_t kBuckets = 32;

  InstanceTable(InstanceInfo aSelf, MembershipSettings aSettings);

  [[nodiscard]] const InstanceInfo& Self() const { return mSelf; }
  /** @return a number that rises whenever the set of live instances may have changed */
  [[nodiscard]] std::uint64_t Version() const { return mVersion; }
  [[nodiscard]] const std::map<InstanceId, InstanceEntry>& Entries() const
  {
    return mEntries;
  }
  [[nodiscard]] const InstanceEntry* Find(const InstanceId& aInstance) const;
  /** @return whether the instance, not this one, answered and is alive or suspect */
  [[nodiscard]] bool IsLivePeer(const InstanceId& aInstance) const;
  /** @return alive and suspect instances, this one included unless it leaves */
  [[nodiscard]] std::vector<InstanceInfo> Live() const;
  /** @return Live() without copies; the pointers hold until the next change */
  [[nodiscard]] std::vector<const InstanceInfo*> LivePointers() const;
  /** @return every instance; a candidate counts as dead until it answers */
  [[nodiscard]] std::vector<InstanceInfo> All() const;

  /**
   * Merges a report.
   *
   * After a partition each side believes that the other is dead. Therefore a suspicion or
   * death counts only when it comes from the own zone or the instance's zone, and a death
   * in the own zone that another zone reports is taken as a suspicion.
   *
   * @param aFromZone zone of the reporter
   * @return the instance as it is now, when it changed; this instance after a refutation
   */
  std::optional<InstanceInfo> Apply(const InstanceInfo& aReport,
                                    const AvailabilityZone& aFromZone,
                                    TimePoint aNow);
  /** Merges an entry of another table. A death is taken as a suspicion, because it may be
   * left from before a partition ended. */
  std::optional<InstanceInfo> ApplyEntry(const InstanceInfo& aEntry,
                                         const AvailabilityZone& aFromZone,
                                         TimePoint aNow);
  /** Merges what an instance said of itself in a message that just arrived. */
  std::optional<InstanceInfo> NoteHeard(const InstanceInfo& aInstance, TimePoint aNow);
  /** Notes that direct and indirect probes of the instance failed. */
  std::optional<InstanceInfo> NoteSilent(const InstanceId& aInstance, TimePoint aNow);
  /** @return instances that became dead because their suspicion ended */
  std::vector<InstanceInfo> Expire(TimePoint aNow);
  /** Turns dead instances into candidates if they are listed; called when an instance
   * that had lost its whole zone hears from it again, because its verdicts show its own
   * isolation. */
  void ForgetDeaths();
  /** Gives running suspicions their full time again, after a pause of this instance. */
  void RestartSuspicions(TimePoint aNow);
  /** Marks this instance as leaving. */
  const InstanceInfo& MarkSelfLeaving();
  /**
   * Merges the platform's list: adds candidates, marks leaving ones, forgets those that
   * are no longer listed and do not answer.
   *
   * @return instances that changed; this one when the list marked it as leaving
   */
  std::vector<InstanceInfo> MergeListing(std::span<const ListedCandidate> aListed,
                                         TimePoint aNow);

  /** @return one digest for each bucket, dead instances and candidates aside */
  [[nodiscard]] std::vector<std::uint64_t> Digest() const;
  /**
   * @param aTheirs another table's digest; may be empty
   * @return whether so many buckets differ that one of the tables lacks more than the
   * updates under way
   */
  [[nodiscard]] bool IsFarFrom(std::span<const std::uint64_t> aTheirs) const;
  /**
   * @param aTheirs another table's digest
   * @return entries of the buckets that differ, this instance included
   */
  [[nodiscard]] std::vector<InstanceInfo> EntriesThatDiffer(
    std::span<const std::uint64_t> aTheirs) const;

private:
  std::optional<InstanceInfo> ApplyAboutSelf(const InstanceInfo& aReport);
  std::optional<InstanceInfo> MergeListed(const ListedCandidate& aListed, TimePoint aNow);
  void ForgetUnlisted(std::span<const ListedCandidate> aListed);

  InstanceInfo mSelf;
  MembershipSettings mSettings;
  std::map<InstanceId, InstanceEntry> mEntries;
  std::uint64_t mVersion = 1;
};

} // namespace papayaspindle
