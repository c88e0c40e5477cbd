#pragma once

#include "decision/allowance/rateholder.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>
#include <vector>

namespace papayaspindle {

using namespace std::chrono_literals;

struct SentRequest
{
  std::string mLimiter;
  std::uint32_t mCount = 0;
  std::uint64_t mRequest = 0;
  Duration mMaxWait{};
};

/** A holder with recorded requests and decisions; the test answers the requests. */
class RateHolderFixture
{
public:
  RateHolderHooks Hooks()
  {
    RateHolderHooks hooks;
    hooks.mLimiters = [this](std::string_view, TimePoint) { return mLimiters; };
    hooks.mRequest = [this](const std::string& aLimiter,
                            const TokenRequest& aRequest,
                            std::uint64_t aKey,
                            TimePoint) -> std::optional<TokenGrant> {
      mSent.push_back({ aLimiter, aRequest.mCount, aKey, aRequest.mMaxWait });
      if (aLimiter == "self") {
        return mOwnGrant;
      }
      return std::nullopt;
    };
    hooks.mDecided = [this](std::uint64_t aOperation, const TokenDecision& aDecision) {
      mDecisions.emplace_back(aOperation, aDecision);
      if (mOnDecided) {
        mOnDecided(aOperation);
      }
    };
    return hooks;
  }

  TokenDecision Take(std::uint64_t aOperation)
  {
    return mHolder.Take("acme", aOperation, mNow);
  }

  /** Answers the last request. */
  void Grant(std::uint32_t aGranted, Duration aWait = 0ms)
  {
    mHolder.OnGrant(mSent.back().mRequest, { aGranted, aWait }, mNow);
  }

  void Lose() { mHolder.OnNoAnswer(mSent.back().mRequest, mNow); }

  /** Leaves a token with the holder that was requested now. */
  void HoldToken()
  {
    Take(900);
    Grant(2);
    mSent.clear();
    mDecisions.clear();
  }

  std::size_t Count(TokenOutcome aOutcome) const
  {
    return static_cast<std::size_t>(
      std::count_if(mDecisions.begin(), mDecisions.end(), [&](const auto& aDecision) {
        return aDecision.second.mOutcome == aOutcome;
      }));
  }

  TimePoint mNow{ 1h };
  std::vector<std::string> mLimiters{ "l1", "l2", "l3", "l4" };
  TokenGrant mOwnGrant;
  std::vector<SentRequest> mSent;
  std::vector<std::pair<std::uint64_t, TokenDecision>> mDecisions;
  std::function<void(std::uint64_t)> mOnDecided;
  RateHolder mHolder{ Hooks() };
};

} // namespace papayaspindle
