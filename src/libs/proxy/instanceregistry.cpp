#include "proxy/instanceregistry.h"

#include <algorithm>

namespace papayaspindle::proxy {

namespace {

// Shares move slowly: a new instance opens connections only as they become free.
constexpr Duration kBeatInterval = std::chrono::seconds(3);
// After the start the other rows appear within this time.
constexpr Duration kFirstBeats = std::chrono::milliseconds(700);
constexpr std::uint64_t kFirstBeatCount = 3;
// Three beats of another instance.
constexpr Duration kRowLasts = std::chrono::seconds(10);

} // namespace

InstanceRegistry::InstanceRegistry(std::string aInstance,
                                   SharedStore aStore,
                                   std::function<TimePoint()> aNow,
                                   CountHook aHook)
  : mInstance(std::move(aInstance))
  , mStore(std::move(aStore))
  , mNow(std::move(aNow))
  , mHook(std::move(aHook))
{
}

void
InstanceRegistry::OnTimer(TimePoint aNow)
{
  if (aNow < mNextBeat) {
    return;
  }
  mBeats++;
  mNextBeat = aNow + (mBeats <= kFirstBeatCount ? kFirstBeats : kBeatInterval);
  mStore.mRead(kInstanceTable, [this](const ReadResult& aResult) { OnRead(aResult); });
}

void
InstanceRegistry::OnRead(const ReadResult& aResult)
{
  const auto* snapshot = std::get_if<TableSnapshot>(&aResult);
  if (snapshot == nullptr) {
    return;
  }
  const TimePoint now = mNow();
  mOwnRevision = 0;
  for (const StoredRow& row : snapshot->mRows) {
    if (row.mKey == mInstance) {
      mOwnRevision = row.mRevision;
      continue;
    }
    Seen& seen = mSeen[row.mKey];
    if (seen.mRevision != row.mRevision) {
      seen = { row.mRevision, now };
    }
  }
  const auto others = std::count_if(mSeen.begin(), mSeen.end(), [&](const auto& aEntry) {
    return now - aEntry.second.mChangedAt < kRowLasts;
  });
  const auto count = static_cast<std::uint32_t>(others) + 1;
  if (count != mCount) {
    mCount = count;
    mHook(count);
  }
  WriteRow();
}

void
InstanceRegistry::WriteRow()
{
  StoredRow row;
  row.mTable = kInstanceTable;
  row.mKey = mInstance;
  row.mValue = std::to_string(mBeats);
  row.mRevision = mOwnRevision;
  // A lost write is made up for by the next beat.
  mStore.mWrite({ row }, [](const WriteResult&) {});
}

} // namespace papayaspindle::proxy
