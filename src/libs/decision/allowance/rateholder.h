#pragma once

#include "core/timetypes.h"
#include "decision/allowance/rateledger.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace papayaspindle {

/** Time from a request until its tokens lapse. Short compared with the window of the rate
 * limit, because tokens of one window may be used in the next. */
constexpr Duration kTokenLifetime = std::chrono::milliseconds(300);
/** Time after which a limiter that has not answered counts as lost for the request: many
 * round trips within a region. */
constexpr Duration kTokenAnswerTimeout = std::chrono::milliseconds(60);

/** Decision on an operation that needs a token. */
enum class TokenOutcome : std::uint8_t
{
  Granted,
  /** The decision follows through RateHolderHooks::mDecided. */
  Pending,
  /** The customer is over its limit. */
  Refused,
  /** No limiter of the customer can be reached. */
  Unavailable,
};

/** Outcome, and when it is worth coming back after a refusal. */
struct TokenDecision
{
  TokenOutcome mOutcome = TokenOutcome::Pending;
  Duration mRetryAfter{};
  /** When a granted token lapses. */
  TimePoint mExpiresAt;
};

/** Functions that a RateHolder depends on, and its notifications. */
struct RateHolderHooks
{
  /** @return the customer's limiters, the preferred one first */
  std::function<std::vector<std::string>(std::string_view aCustomer, TimePoint)>
    mLimiters;
  /**
   * Requests tokens from a limiter.
   *
   * @return the grant if the limiter is this instance; otherwise nothing, and the answer
   * is reported by OnGrant or OnNoAnswer
   */
  std::function<std::optional<TokenGrant>(const std::string& aLimiter,
                                          const TokenRequest&,
                                          std::uint64_t aRequest,
                                          TimePoint)>
    mRequest;
  /** The decision on an operation whose outcome was Pending. */
  std::function<void(std::uint64_t aOperation, const TokenDecision&)> mDecided;
};

/**
 * Tokens that an instance holds for the operations of its clients.
 *
 * It asks a customer's limiters in turn, for all operations that wait at that time. A
 * limiter that had too few tokens isn't asked again for a while: a customer far over its
 * limit must not cost a request for each refusal.
 */
class RateHolder
{
public:
  explicit RateHolder(RateHolderHooks aHooks);

  /** @param aOperation identifies the operation in mDecided; not 0 */
  TokenDecision Take(std::string_view aCustomer,
                     std::uint64_t aOperation,
                     TimePoint aNow);
  /** Gives back the token of an operation that no member has run. */
  void Return(std::string_view aCustomer, TimePoint aExpiresAt, TimePoint aNow);
  /** Removes an operation whose decision is pending. */
  void Cancel(std::string_view aCustomer, std::uint64_t aOperation);
  void OnGrant(std::uint64_t aRequest, const TokenGrant& aGrant, TimePoint aNow);
  /** Handles that a limiter could not be reached or has not answered in time. */
  void OnNoAnswer(std::uint64_t aRequest, TimePoint aNow);

private:
  struct Tokens
  {
    std::uint32_t mCount = 0;
    TimePoint mExpiresAt;
  };

  /** What a limiter that had too few tokens has reported. */
  struct Exhaustion
  {
    /** Until when the limiter is not asked. */
    TimePoint mPausedUntil;
    /** When the limiter expects to have a token. */
    TimePoint mNextTokenAt;
  };

  /** State of one customer. */
  struct Account
  {
    std::deque<Tokens> mTokens;
    std::deque<std::uint64_t> mWaiting;
    /** Unanswered request; 0 for none. */
    std::uint64_t mRequest = 0;
    /** Whether Advance runs: an operation that starts from within mDecided waits for it.
     */
    bool mIsAdvancing = false;
    std::string mRequestedFrom;
    std::uint32_t mRequestedCount = 0;
    TimePoint mRequestedAt;
    /** Limiters that had too few tokens, by name. */
    std::map<std::string, Exhaustion> mExhausted;
    /** Limiters that did not answer the operations that wait. */
    std::set<std::string> mLost;
  };

  /** Requests tokens for the operations that wait, or refuses them. */
  void Advance(const std::string& aCustomer, TimePoint aNow);
  void AddGrant(Account& aAccount, const TokenGrant& aGrant, TimePoint aNow);
  /** @return decision on an operation if none of the limiters can be asked */
  static TokenDecision RefusalFor(const Account& aAccount,
                                  const std::vector<std::string>& aLimiters,
                                  TimePoint aNow);
  /** Takes a token of the account.
   *
   * @return when it lapses; nothing if the account holds none */
  static std::optional<TimePoint> TakeToken(Account& aAccount, TimePoint aNow);
  /** Decides on the first of the operations that wait. */
  void Decide(Account& aAccount, const TokenDecision& aDecision);

  RateHolderHooks mHooks;
  std::map<std::string, Account, std::less<>> mAccounts;
  /** When each limiter was last found lost. */
  std::map<std::string, TimePoint> mLostAt;
  /** Customers of the unanswered requests. */
  std::map<std::uint64_t, std::string> mRequests;
  std::uint64_t mNextRequest = 1;
  /** Operation for which Take runs; its decision is returned, not reported. */
  std::uint64_t mTaking = 0;
  std::optional<TokenDecision> mTaken;
};

} // namespace papayaspindle
