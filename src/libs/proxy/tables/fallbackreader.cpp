#include "proxy/tables/fallbackreader.h"

#include <utility>

namespace papayaspindle::proxy {

namespace {

// A slow store takes up to 240 ms for a read.
constexpr Duration kSubstituteTimeout = std::chrono::milliseconds(400);

} // namespace

FallbackReader::FallbackReader(std::string aTable, FallbackReaderHooks aHooks)
  : mTable(std::move(aTable))
  , mHooks(std::move(aHooks))
{
}

void
FallbackReader::Read(TimePoint aNow, const ResultHook& aHook)
{
  if (mHooks.mIsStoreLost()) {
    QuerySubstitute(mHooks.mSubstitutes(), aHook);
    return;
  }
  mHooks.mRead(aNow, [this, aNow, aHook](const ReadResult& aResult) {
    if (std::holds_alternative<StoreFailure>(aResult)) {
      QuerySubstitute(mHooks.mSubstitutes(), aHook);
    } else {
      aHook(aResult, aNow, true);
    }
  });
}

void
FallbackReader::QuerySubstitute(std::vector<std::string> aSubstitutes,
                                const ResultHook& aHook)
{
  const TimePoint sentAt = mHooks.mNow();
  if (aSubstitutes.empty()) {
    aHook(StoreFailure::NoAnswer, sentAt, false);
    return;
  }
  const std::string substitute = aSubstitutes.front();
  aSubstitutes.erase(aSubstitutes.begin());
  RelayRequest request;
  request.mTable = mTable;
  request.mNeedsRead = true;
  request.mIncarnation = mHooks.mIncarnation();
  mHooks.mQueryReader(substitute,
                      request,
                      kSubstituteTimeout,
                      sentAt,
                      [this, substitutes = std::move(aSubstitutes), sentAt, aHook](
                        const std::optional<RelayAnswer>& aAnswer) {
                        const std::uint64_t incarnation = mHooks.mIncarnation();
                        if (!aAnswer || aAnswer->mIsRefused || !aAnswer->mIsRead ||
                            aAnswer->mIncarnation < incarnation) {
                          QuerySubstitute(substitutes, aHook);
                          return;
                        }
                        if (aAnswer->mIncarnation > incarnation &&
                            mHooks.mOnIncarnation) {
                          mHooks.mOnIncarnation(aAnswer->mIncarnation);
                        }
                        TableSnapshot snapshot;
                        snapshot.mRevision = aAnswer->mRevision;
                        snapshot.mIncarnation = aAnswer->mIncarnation;
                        for (const ChangedRow& change : aAnswer->mRows) {
                          snapshot.mRows.push_back(change.mRow);
                        }
                        aHook(snapshot, sentAt, false);
                      });
}

} // namespace papayaspindle::proxy
