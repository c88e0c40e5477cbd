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

/** State of one instance in the table. */
struct InstanceEntry
{
  InstanceInfo mInfo;
  /** Whether the instance has answered this instance or a peer. A listed instance that
   * has not is only a candidate and does not count as live. */
  bool mHasAnswered = false;
  /** Whether the platform's last list contains the instance. */
  bool mListed = false;
  /** Whether the platform's last list marks the instance as leaving. */
  bool mListedLeaving = false;
  /** Whether direct and indirect probes from this instance failed. Only then does a
   * suspicion that times out here turn into death. */
  bool mUnresponsiveHere = false;
  /** Time since which the liveness or mUnresponsiveHere holds; restarted after a pause of
   * this instance. */
  TimePoint mStateSince;
};

/** An entry of the platform's list of instances. */
struct ListedCandidate
{
  InstanceInfo mInfo;
  bool mLeaving = false;
};

/**
 * Table of all entry instances and their liveness.
 *
 * Of two reports about an instance, the one with the higher (incarnation, liveness) wins,
 * where alive < suspect < leaving < dead. Therefore the order of arrival does not matter.
 * An instance's incarnation is a number that only the instance itself raises, to refute
 * reports about it.
 */
class InstanceTable
{
public:
  static constexpr std::size_t kBuckets = 32;

  InstanceTable(InstanceInfo aSelf, MembershipSettings aSettings);

  [[nodiscard]] const InstanceInfo& Self() const { return mSelf; }
  /** @return a counter that rises whenever the set of live instances may have changed */
  [[nodiscard]] std::uint64_t Version() const { return mVersion; }
  [[nodiscard]] const std::map<InstanceId, InstanceEntry>& Entries() const
  {
    return mEntries;
  }
  [[nodiscard]] const InstanceEntry* Find(const InstanceId& aInstance) const;
  /** @return whether this is another instance, has answered, and is alive or suspect */
  [[nodiscard]] bool IsLivePeer(const InstanceId& aInstance) const;
  /** @return alive and suspect instances, including this one unless it is leaving */
  [[nodiscard]] std::vector<InstanceInfo> Live() const;
  /** @return the same as Live() without copies; the pointers are valid until the next
   * change of the table */
  [[nodiscard]] std::vector<const InstanceInfo*> LivePointers() const;
  /** @return all instances; a candidate is reported as dead until it answers, unless it
   * is leaving */
  [[nodiscard]] std::vector<InstanceInfo> All() const;

  /**
   * Merges a report about an instance.
   *
   * After a network partition each side reports the other as dead. Therefore a report of
   * a suspicion or death counts only if the reporter is in this instance's zone or in the
   * reported instance's zone. If another zone reports the death of an instance of this
   * zone, the instance becomes suspect.
   *
   * @param aReporterZone zone of the reporter
   * @return the new state of the reported instance if it changed; if it is this instance,
   * its state with a higher incarnation that refutes the report
   */
  std::optional<InstanceInfo> Apply(const InstanceInfo& aReport,
                                    const AvailabilityZone& aReporterZone,
                                    TimePoint aNow);
  /** Merges an entry of another instance's table. A dead entry makes the instance suspect
   * only, because the entry may date from a partition that has ended. */
  std::optional<InstanceInfo> ApplyTableEntry(const InstanceInfo& aEntry,
                                              const AvailabilityZone& aReporterZone,
                                              TimePoint aNow);
  /** Merges the sender's report about itself from a message that has just arrived. */
  std::optional<InstanceInfo> RecordMessageFrom(const InstanceInfo& aInstance,
                                                TimePoint aNow);
  /** Records that direct and indirect probes of the instance failed.
   *
   * @return the instance if it became suspect */
  std::optional<InstanceInfo> MarkUnresponsive(const InstanceId& aInstance,
                                               TimePoint aNow);
  /** Turns suspicions that have timed out into deaths, and removes dead instances after
   * the retention time.
   *
   * @return instances that became dead */
  std::vector<InstanceInfo> ExpireSuspicions(TimePoint aNow);
  /** Turns dead instances that are listed into candidates and removes the others. Called
   * when an instance that considered its whole zone dead receives a message from the zone
   * again: the deaths that it recorded were caused by its own isolation. */
  void ResetDeadInstances();
  /** Restarts the timeouts of all suspicions after a pause of this instance. */
  void RestartSuspicions(TimePoint aNow);
  /** Marks this instance as leaving. */
  const InstanceInfo& MarkSelfLeaving();
  /**
   * Merges the platform's list: adds candidates, marks leaving instances, and removes
   * those that are no longer listed and have never answered.
   *
   * @return instances that changed, including this one if the list marked it as leaving
   */
  std::vector<InstanceInfo> MergeListing(std::span<const ListedCandidate> aListed,
                                         TimePoint aNow);

  /** @return the digest of each bucket; dead instances and candidates are left out */
  [[nodiscard]] std::vector<std::uint64_t> Digest() const;
  /**
   * @param aOtherDigest another table's digest; may be empty
   * @return whether more buckets differ than updates in propagation can explain, so that
   * one of the tables lacks entries
   */
  [[nodiscard]] bool DiffersWidelyFrom(std::span<const std::uint64_t> aOtherDigest) const;
  /**
   * @param aOtherDigest another table's digest
   * @return entries of the buckets that differ, at most mMaxTableEntries
   */
  [[nodiscard]] std::vector<InstanceInfo> DifferingEntries(
    std::span<const std::uint64_t> aOtherDigest) const;

private:
  std::optional<InstanceInfo> ApplyReportAboutSelf(const InstanceInfo& aReport);
  std::optional<InstanceInfo> MergeListedInstance(const ListedCandidate& aListed,
                                                  TimePoint aNow);
  void RemoveUnlisted(std::span<const ListedCandidate> aListed);

  InstanceInfo mSelf;
  MembershipSettings mSettings;
  std::map<InstanceId, InstanceEntry> mEntries;
  std::uint64_t mVersion = 1;
};

} // namespace papayaspindle
