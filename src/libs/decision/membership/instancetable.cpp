#include "decision/membership/instancetable.h"

#include "core/stablehash.h"
#include "decision/membership/reportorder.h"

#include <algorithm>
#include <set>
#include <utility>

namespace papayaspindle {

namespace {

constexpr std::uint64_t kBucketSeed = 1;
constexpr std::uint64_t kDigestSeed = 2;
// Two tables differ widely if more than one in this many buckets differs.
constexpr std::size_t kWideDifferenceDivisor = 8;

std::size_t
BucketOf(const InstanceId& aInstance)
{
  return StableHash({ aInstance.Text() }, kBucketSeed) % InstanceTable::kBuckets;
}

// Suspicions are left out: they end within seconds and would make most digests differ.
std::uint64_t
DigestOf(const InstanceInfo& aInfo)
{
  const std::uint64_t leaving = aInfo.mLiveness == Liveness::Leaving ? 1 : 0;
  return StableHash({ aInfo.mInstance.Text() },
                    kDigestSeed + aInfo.mIncarnation * 2 + leaving);
}

bool
IsSuspectOrDead(Liveness aLiveness)
{
  return aLiveness == Liveness::Suspect || aLiveness == Liveness::Dead;
}

bool
IsLeavingOrDead(Liveness aLiveness)
{
  return aLiveness == Liveness::Leaving || aLiveness == Liveness::Dead;
}

bool
IsLive(const InstanceEntry& aEntry)
{
  return aEntry.mHasAnswered && (aEntry.mInfo.mLiveness == Liveness::Alive ||
                                 aEntry.mInfo.mLiveness == Liveness::Suspect);
}

} // namespace

InstanceTable::InstanceTable(InstanceInfo aSelf, MembershipSettings aSettings)
  : mSelf(std::move(aSelf))
  , mSettings(aSettings)
{
}

const InstanceEntry*
InstanceTable::Find(const InstanceId& aInstance) const
{
  const auto entry = mEntries.find(aInstance);
  return entry == mEntries.end() ? nullptr : &entry->second;
}

bool
InstanceTable::IsLivePeer(const InstanceId& aInstance) const
{
  const InstanceEntry* entry = Find(aInstance);
  return entry != nullptr && IsLive(*entry);
}

std::vector<const InstanceInfo*>
InstanceTable::LivePointers() const
{
  std::vector<const InstanceInfo*> live;
  if (mSelf.mLiveness == Liveness::Alive) {
    live.push_back(&mSelf);
  }
  for (const auto& [id, entry] : mEntries) {
    if (IsLive(entry)) {
      live.push_back(&entry.mInfo);
    }
  }
  return live;
}

std::vector<InstanceInfo>
InstanceTable::Live() const
{
  std::vector<InstanceInfo> live;
  for (const InstanceInfo* instance : LivePointers()) {
    live.push_back(*instance);
  }
  return live;
}

std::vector<InstanceInfo>
InstanceTable::All() const
{
  std::vector<InstanceInfo> all{ mSelf };
  for (const auto& [id, entry] : mEntries) {
    all.push_back(entry.mInfo);
    if (!entry.mHasAnswered && entry.mInfo.mLiveness != Liveness::Leaving) {
      all.back().mLiveness = Liveness::Dead;
    }
  }
  return all;
}

std::optional<InstanceInfo>
InstanceTable::ApplyReportAboutSelf(const InstanceInfo& aReport)
{
  if (aReport.mIncarnation < mSelf.mIncarnation || aReport.mLiveness == Liveness::Alive) {
    return std::nullopt;
  }
  // A leaving mark of this incarnation comes from the platform's list. One of a higher
  // incarnation was meant for an earlier process with this name and is refuted.
  const bool sameProcess = aReport.mIncarnation == mSelf.mIncarnation;
  if (aReport.mLiveness == Liveness::Leaving && sameProcess) {
    if (mSelf.mLiveness == Liveness::Leaving) {
      return std::nullopt;
    }
    return MarkSelfLeaving();
  }
  mSelf.mIncarnation = aReport.mIncarnation + 1;
  return mSelf;
}

std::optional<InstanceInfo>
InstanceTable::Apply(const InstanceInfo& aReport,
                     const AvailabilityZone& aReporterZone,
                     TimePoint aNow)
{
  if (aReport.mInstance == mSelf.mInstance) {
    return ApplyReportAboutSelf(aReport);
  }
  const auto known = mEntries.find(aReport.mInstance);
  const bool hasAnswered = known != mEntries.end() && known->second.mHasAnswered;
  // The death of an instance that was never live here changes nothing. If it were
  // recorded, instances would send dead entries to each other forever.
  if (!hasAnswered && aReport.mLiveness == Liveness::Dead) {
    return std::nullopt;
  }
  InstanceInfo report = aReport;
  const bool isFromOtherZone = aReporterZone != mSelf.mAvailabilityZone;
  if (isFromOtherZone && IsSuspectOrDead(report.mLiveness)) {
    if (report.mAvailabilityZone == mSelf.mAvailabilityZone) {
      report.mLiveness = Liveness::Suspect;
    } else if (report.mAvailabilityZone != aReporterZone) {
      return std::nullopt;
    }
  }
  InstanceEntry& entry = mEntries[report.mInstance];
  if (!hasAnswered && entry.mListedLeaving && report.mLiveness == Liveness::Alive) {
    report.mLiveness = Liveness::Leaving;
  }
  if (hasAnswered && !Supersedes(report, entry.mInfo)) {
    return std::nullopt;
  }
  const bool dead = report.mLiveness == Liveness::Dead;
  const bool newer = report.mIncarnation > entry.mInfo.mIncarnation;
  entry.mInfo = std::move(report);
  entry.mHasAnswered = true;
  entry.mUnresponsiveHere = entry.mUnresponsiveHere && !newer && !dead;
  entry.mStateSince = aNow;
  ++mVersion;
  return entry.mInfo;
}

std::optional<InstanceInfo>
InstanceTable::ApplyTableEntry(const InstanceInfo& aEntry,
                               const AvailabilityZone& aReporterZone,
                               TimePoint aNow)
{
  if (aEntry.mLiveness != Liveness::Dead || aEntry.mInstance == mSelf.mInstance) {
    return Apply(aEntry, aReporterZone, aNow);
  }
  if (!IsLivePeer(aEntry.mInstance)) {
    return std::nullopt;
  }
  InstanceInfo suspected = aEntry;
  suspected.mLiveness = Liveness::Suspect;
  return Apply(suspected, aReporterZone, aNow);
}

void
InstanceTable::ResetDeadInstances()
{
  std::erase_if(mEntries, [](const auto& aPair) {
    return aPair.second.mInfo.mLiveness == Liveness::Dead && !aPair.second.mListed;
  });
  for (auto& [id, entry] : mEntries) {
    if (entry.mInfo.mLiveness == Liveness::Dead) {
      entry.mHasAnswered = false;
      entry.mInfo.mLiveness = Liveness::Alive;
      entry.mInfo.mIncarnation = 0;
    }
  }
}

std::optional<InstanceInfo>
InstanceTable::RecordMessageFrom(const InstanceInfo& aInstance, TimePoint aNow)
{
  if (aInstance.mInstance == mSelf.mInstance) {
    return std::nullopt;
  }
  std::optional<InstanceInfo> changed =
    Apply(aInstance, aInstance.mAvailabilityZone, aNow);
  const auto entry = mEntries.find(aInstance.mInstance);
  if (entry != mEntries.end() && entry->second.mUnresponsiveHere) {
    entry->second.mUnresponsiveHere = false;
    entry->second.mStateSince = aNow;
  }
  return changed;
}

std::optional<InstanceInfo>
InstanceTable::MarkUnresponsive(const InstanceId& aInstance, TimePoint aNow)
{
  const auto found = mEntries.find(aInstance);
  if (found == mEntries.end() || !found->second.mHasAnswered ||
      found->second.mUnresponsiveHere ||
      found->second.mInfo.mLiveness == Liveness::Dead) {
    return std::nullopt;
  }
  InstanceEntry& entry = found->second;
  entry.mUnresponsiveHere = true;
  entry.mStateSince = aNow;
  if (entry.mInfo.mLiveness != Liveness::Alive) {
    return std::nullopt;
  }
  entry.mInfo.mLiveness = Liveness::Suspect;
  return entry.mInfo;
}

std::vector<InstanceInfo>
InstanceTable::ExpireSuspicions(TimePoint aNow)
{
  std::vector<InstanceInfo> died;
  for (auto next = mEntries.begin(); next != mEntries.end();) {
    InstanceEntry& entry = next->second;
    const Duration age = aNow - entry.mStateSince;
    if (entry.mUnresponsiveHere && age >= mSettings.mSuspicionTimeout) {
      entry.mInfo.mLiveness = Liveness::Dead;
      entry.mUnresponsiveHere = false;
      entry.mStateSince = aNow;
      ++mVersion;
      died.push_back(entry.mInfo);
    }
    const bool dead = entry.mInfo.mLiveness == Liveness::Dead;
    const bool forget = dead && !entry.mListed && age >= mSettings.mDeadRetention;
    next = forget ? mEntries.erase(next) : std::next(next);
  }
  return died;
}

void
InstanceTable::RestartSuspicions(TimePoint aNow)
{
  for (auto& [id, entry] : mEntries) {
    if (entry.mInfo.mLiveness != Liveness::Dead) {
      entry.mUnresponsiveHere = false;
      entry.mStateSince = aNow;
    }
  }
}

const InstanceInfo&
InstanceTable::MarkSelfLeaving()
{
  mSelf.mLiveness = Liveness::Leaving;
  ++mVersion;
  return mSelf;
}

std::optional<InstanceInfo>
InstanceTable::MergeListedInstance(const ListedCandidate& aListed, TimePoint aNow)
{
  const auto [found, added] = mEntries.try_emplace(aListed.mInfo.mInstance);
  InstanceEntry& entry = found->second;
  entry.mListed = true;
  if (added) {
    entry.mInfo = aListed.mInfo;
    entry.mInfo.mLiveness = Liveness::Alive;
    entry.mInfo.mIncarnation = 0;
    entry.mStateSince = aNow;
  }
  // Only a new leaving mark counts. The list lags, and a mark of the previous process
  // must not apply to an instance that has restarted under the same name.
  const bool marked = aListed.mLeaving && !entry.mListedLeaving;
  entry.mListedLeaving = aListed.mLeaving;
  if (!marked || IsLeavingOrDead(entry.mInfo.mLiveness)) {
    return std::nullopt;
  }
  entry.mInfo.mLiveness = Liveness::Leaving;
  entry.mStateSince = aNow;
  ++mVersion;
  if (!entry.mHasAnswered) {
    return std::nullopt;
  }
  return entry.mInfo;
}

void
InstanceTable::RemoveUnlisted(std::span<const ListedCandidate> aListed)
{
  std::set<InstanceId> listed;
  for (const ListedCandidate& candidate : aListed) {
    listed.insert(candidate.mInfo.mInstance);
  }
  for (auto next = mEntries.begin(); next != mEntries.end();) {
    InstanceEntry& entry = next->second;
    const bool ended = entry.mListed && !listed.contains(next->first);
    entry.mListed = entry.mListed && !ended;
    next = ended && !entry.mHasAnswered ? mEntries.erase(next) : std::next(next);
  }
}

std::vector<InstanceInfo>
InstanceTable::MergeListing(std::span<const ListedCandidate> aListed, TimePoint aNow)
{
  std::vector<InstanceInfo> changed;
  for (const ListedCandidate& listed : aListed) {
    if (listed.mInfo.mInstance == mSelf.mInstance) {
      if (listed.mLeaving && mSelf.mLiveness != Liveness::Leaving) {
        changed.push_back(MarkSelfLeaving());
      }
      continue;
    }
    if (const auto change = MergeListedInstance(listed, aNow)) {
      changed.push_back(*change);
    }
  }
  RemoveUnlisted(aListed);
  return changed;
}

std::vector<std::uint64_t>
InstanceTable::Digest() const
{
  std::vector<std::uint64_t> digest(kBuckets);
  digest[BucketOf(mSelf.mInstance)] ^= DigestOf(mSelf);
  for (const auto& [id, entry] : mEntries) {
    if (entry.mHasAnswered && entry.mInfo.mLiveness != Liveness::Dead) {
      digest[BucketOf(id)] ^= DigestOf(entry.mInfo);
    }
  }
  return digest;
}

bool
InstanceTable::DiffersWidelyFrom(std::span<const std::uint64_t> aOtherDigest) const
{
  if (aOtherDigest.size() != kBuckets) {
    return false;
  }
  const std::vector<std::uint64_t> own = Digest();
  std::size_t differing = 0;
  for (std::size_t bucket = 0; bucket < kBuckets; ++bucket) {
    differing += own[bucket] != aOtherDigest[bucket] ? 1 : 0;
  }
  return differing * kWideDifferenceDivisor > std::min(kBuckets, mEntries.size());
}

std::vector<InstanceInfo>
InstanceTable::DifferingEntries(std::span<const std::uint64_t> aOtherDigest) const
{
  std::vector<InstanceInfo> entries;
  if (aOtherDigest.size() != kBuckets) {
    return entries;
  }
  const std::vector<std::uint64_t> own = Digest();
  for (const auto& [id, entry] : mEntries) {
    const std::size_t bucket = BucketOf(id);
    if (entry.mHasAnswered && own[bucket] != aOtherDigest[bucket] &&
        entries.size() < mSettings.mMaxTableEntries) {
      entries.push_back(entry.mInfo);
    }
  }
  return entries;
}

} // namespace papayaspindle
