#pragma once

#include "exploration/explorationcontext.h"
#include "proxy/rowstore.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <utility>

namespace papayaspindle::exploration {

using namespace std::chrono_literals;

/** Receives an answer of the store and the incarnation that it announces; 0 for none. */
template<typename Result>
using StoreHook = std::function<void(std::uint64_t aIncarnation, const Result&)>;

/** Calls of one process to the store, with the rules of the platform's store client on
 * incarnations. Performs the check CALLS where the store announces incarnations. */
class StoreAccess
{
public:
  StoreAccess(ExplorationContext& aContext,
              std::string aInstance,
              std::function<void(std::uint64_t aIncarnation)> aOnIncarnation)
    : mContext(aContext)
    , mInstance(std::move(aInstance))
    , mOnIncarnation(std::move(aOnIncarnation))
  {
  }

  /** Learns the incarnation of an answer. @return whether the answer is of the newest one
   */
  bool Observe(std::uint64_t aIncarnation)
  {
    if (aIncarnation == 0) {
      return true;
    }
    if (aIncarnation > mIncarnation) {
      mIncarnation = aIncarnation;
      mOnIncarnation(aIncarnation);
    }
    return aIncarnation == mIncarnation;
  }

  void Read(const std::function<void(StoreHook<proxy::ReadResult>)>& aSend,
            std::function<void(const proxy::ReadResult&)> aHook)
  {
    Count(mReads, kMaxReadsPerSecond, "reads");
    aSend([this, hook = std::move(aHook)](std::uint64_t aIncarnation,
                                          const proxy::ReadResult& aResult) {
      const bool isOfNewest = Observe(aIncarnation);
      hook(isOfNewest ? aResult : proxy::ReadResult(proxy::StoreFailure::NoAnswer));
    });
  }

  void Write(const proxy::ConditionalWrite& aWrite,
             const std::function<void(StoreHook<proxy::WriteResult>)>& aSend,
             std::function<void(const proxy::WriteResult&)> aHook)
  {
    const std::uint64_t expected = aWrite.mRow.mIncarnation;
    if (expected != mIncarnation) {
      aHook(proxy::RowConflict{});
      return;
    }
    Count(mWrites, kMaxWritesPerSecond, "writes");
    aSend([this, expected, hook = std::move(aHook)](std::uint64_t aIncarnation,
                                                    const proxy::WriteResult& aResult) {
      const bool isOfNewest = Observe(aIncarnation) && expected == mIncarnation;
      hook(isOfNewest ? aResult : proxy::WriteResult(proxy::StoreFailure::NoAnswer));
    });
  }

private:
  // The smallest store of a deployment allows 2,000 reads and 400 writes a second; up to
  // 12 instances call it themselves.
  static constexpr std::size_t kMaxReadsPerSecond = 2000 / 12;
  static constexpr std::size_t kMaxWritesPerSecond = 400 / 12;

  void Count(std::deque<TimePoint>& aCalls, std::size_t aLimit, const char* aKind)
  {
    const TimePoint now = mContext.mClock.Now();
    aCalls.push_back(now);
    while (now - aCalls.front() > 1s) {
      aCalls.pop_front();
    }
    if (mIncarnation != 0 && aCalls.size() > aLimit) {
      mContext.mJournal.Report(
        "CALLS",
        { mInstance },
        fmt::format("{} sends more than {} {} a second", mInstance, aLimit, aKind));
      aCalls.clear();
    }
  }

  ExplorationContext& mContext;
  std::string mInstance;
  std::function<void(std::uint64_t)> mOnIncarnation;
  /** Newest known incarnation of the store; 0 if it announces none. */
  std::uint64_t mIncarnation = 0;
  std::deque<TimePoint> mReads;
  std::deque<TimePoint> mWrites;
};

} // namespace papayaspindle::exploration
