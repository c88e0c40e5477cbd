#include "proxy/instanceregistry.h"

#include <fmt/format.h>

#include <algorithm>
#include <optional>
#include <sstream>
#include <utility>
#include <vector>

namespace papayaspindle::proxy {

namespace {

// Shares move slowly: a new instance opens connections only as they become free.
constexpr Duration kBeatInterval = std::chrono::seconds(3);
// After the start the other rows appear within this time.
constexpr Duration kFirstBeats = std::chrono::milliseconds(700);
constexpr std::uint64_t kFirstBeatCount = 3;
// Few instances can afford to be exact.
constexpr std::size_t kManyInstances = 12;
constexpr Duration kSlowBeat = std::chrono::seconds(10);
// Every instance reads every row in each beat; with a beat that grows with their number,
// an instance reads a fixed number of rows a second (10, about 2 KB).
constexpr Duration kBeatPerInstance = std::chrono::milliseconds(100);
// After the start, many instances read all rows twice: most were written before the
// first, and the rest before the second.
constexpr Duration kSecondBeat = std::chrono::milliseconds(1500);
// A row counts for three beats of its writer and a bit.
constexpr double kBeatsToLast = 3.2;

/** @return pause between the beats of so many instances */
Duration
BeatOf(std::size_t aInstances)
{
  return aInstances > kManyInstances
           ? std::max<Duration>(kSlowBeat, kBeatPerInstance * aInstances)
           : kBeatInterval;
}

std::string
EncodeInstance(const RegisteredInstance& aInstance, std::uint64_t aBeat)
{
  return fmt::format("{} {} {} {} {}",
                     aInstance.mZone,
                     aInstance.mPeerAddress,
                     aInstance.mWeight,
                     aInstance.mIsLeaving ? "leaving" : "serving",
                     aBeat);
}

std::optional<RegisteredInstance>
DecodeInstance(const StoredRow& aRow)
{
  std::istringstream words(aRow.mValue);
  RegisteredInstance instance;
  std::string state;
  instance.mInstance = aRow.mKey;
  if (!(words >> instance.mZone >> instance.mPeerAddress >> instance.mWeight >> state)) {
    return std::nullopt;
  }
  instance.mIsLeaving = state == "leaving";
  return instance;
}

} // namespace

InstanceRegistry::InstanceRegistry(RegisteredInstance aSelf,
                                   SharedStore aStore,
                                   std::function<TimePoint()> aNow,
                                   ChangedHook aHook)
  : mSelf(std::move(aSelf))
  , mStore(std::move(aStore))
  , mNow(std::move(aNow))
  , mHook(std::move(aHook))
{
}

void
InstanceRegistry::Leave()
{
  if (!mSelf.mIsLeaving) {
    mSelf.mIsLeaving = true;
    WriteRow();
  }
}

void
InstanceRegistry::OnTimer(TimePoint aNow)
{
  if (aNow < mNextBeat) {
    return;
  }
  mBeats++;
  mNextBeat = aNow + NextPause();
  mStore.mRead(kInstanceTable, [this](const ReadResult& aResult) { OnRead(aResult); });
}

Duration
InstanceRegistry::NextPause()
{
  if (mSeen.size() <= kManyInstances) {
    return mBeats <= kFirstBeatCount ? kFirstBeats : kBeatInterval;
  }
  if (!std::exchange(mHasSeenMany, true)) {
    return kSecondBeat;
  }
  return BeatOf(mSeen.size());
}

void
InstanceRegistry::OnRead(const ReadResult& aResult)
{
  const auto* snapshot = std::get_if<TableSnapshot>(&aResult);
  if (snapshot == nullptr) {
    // The caller of the store has logged its loss; the last list stands.
    return;
  }
  const TimePoint now = mNow();
  for (const StoredRow& row : snapshot->mRows) {
    if (row.mKey == mSelf.mInstance) {
      // The rows may be older than this instance's last write.
      mOwnRevision = std::max(mOwnRevision, row.mRevision);
      continue;
    }
    const auto instance = DecodeInstance(row);
    Seen& seen = mSeen[row.mKey];
    if (instance && seen.mRevision != row.mRevision) {
      seen = { row.mRevision, now, *instance };
    }
  }
  const auto lasts =
    std::chrono::duration_cast<Duration>(BeatOf(mSeen.size()) * kBeatsToLast);
  std::vector<RegisteredInstance> live{ mSelf };
  std::string report;
  for (const auto& [name, seen] : mSeen) {
    if (now - seen.mChangedAt < lasts) {
      live.push_back(seen.mInstance);
      report += EncodeInstance(seen.mInstance, 0) + name + ";";
    }
  }
  // When all instances start together, the first read finds no others.
  const bool isComplete = mBeats > 1 || !mSeen.empty();
  if (isComplete && (report != mReported || !mHasReported)) {
    mReported = report;
    mHasReported = true;
    mHook(live);
  }
  // The first reads after a start follow each other within less than a beat.
  const bool isDue = mOwnRevision == 0 || now - mWrittenAt >= BeatOf(mSeen.size()) / 2;
  if (isDue) {
    WriteRow();
  }
}

void
InstanceRegistry::WriteRow()
{
  mWrittenAt = mNow();
  StoredRow row;
  row.mTable = kInstanceTable;
  row.mKey = mSelf.mInstance;
  row.mValue = EncodeInstance(mSelf, mBeats);
  row.mRevision = mOwnRevision;
  // A lost write is made up for by the next beat.
  mStore.mWrite({ row }, [this](const WriteResult& aResult) {
    if (const auto* written = std::get_if<Written>(&aResult)) {
      mOwnRevision = written->mRevision;
    }
  });
}

} // namespace papayaspindle::proxy
