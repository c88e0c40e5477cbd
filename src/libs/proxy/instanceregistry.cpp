#include "proxy/instanceregistry.h"

#include <fmt/format.h>

#include <optional>
#include <sstream>
#include <vector>

namespace papayaspindle::proxy {

namespace {

// Shares move slowly: a new instance opens connections only as they become free.
constexpr Duration kBeatInterval = std::chrono::seconds(3);
// After the start the other rows appear within this time.
constexpr Duration kFirstBeats = std::chrono::milliseconds(700);
constexpr std::uint64_t kFirstBeatCount = 3;
// Three beats of another instance.
constexpr Duration kRowLasts = std::chrono::seconds(10);

// Few instances can afford to be exact; many beat less often.
constexpr std::size_t kManyInstances = 12;
constexpr Duration kSlowBeat = std::chrono::seconds(10);
constexpr Duration kSlowRowLasts = std::chrono::seconds(32);

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
  const Duration usual = mSeen.size() > kManyInstances ? kSlowBeat : kBeatInterval;
  mNextBeat = aNow + (mBeats <= kFirstBeatCount ? kFirstBeats : usual);
  mStore.mRead(kInstanceTable, [this](const ReadResult& aResult) { OnRead(aResult); });
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
  mOwnRevision = 0;
  for (const StoredRow& row : snapshot->mRows) {
    if (row.mKey == mSelf.mInstance) {
      mOwnRevision = row.mRevision;
      continue;
    }
    const auto instance = DecodeInstance(row);
    Seen& seen = mSeen[row.mKey];
    if (instance && seen.mRevision != row.mRevision) {
      seen = { row.mRevision, now, *instance };
    }
  }
  const Duration lasts = mSeen.size() > kManyInstances ? kSlowRowLasts : kRowLasts;
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
  WriteRow();
}

void
InstanceRegistry::WriteRow()
{
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
