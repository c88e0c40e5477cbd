#include "proxy/proxycore.h"
#include "proxy/proxytimes.h"

#include <fmt/format.h>

#include <algorithm>

namespace papayaspindle::proxy {

bool
ProxyCore::NeedsToken(const Operation& aOperation) const
{
  if (!mHooks.mTakeToken || aOperation.mCustomer.empty() ||
      aOperation.mPurpose == OperationPurpose::TransactionNext) {
    return false;
  }
  const Customer* customer = mConfiguration.mCustomers.FindByName(aOperation.mCustomer);
  return customer != nullptr && customer->mLimit.has_value();
}

void
ProxyCore::RequestToken(OperationKey aKey, Operation& aOperation, TimePoint aNow)
{
  aOperation.mStage = OperationStage::AwaitingToken;
  const TimePoint usableBy =
    aOperation.mArrivedAt + std::chrono::duration_cast<Duration>(
                              aOperation.mRoute.mLatencyObjective * kTokenWaitShare);
  const Duration maxWait = std::max(usableBy - aNow, Duration());
  const TokenDecision decision =
    mHooks.mTakeToken(aOperation.mCustomer, aKey, maxWait, aNow);
  if (decision.mOutcome == TokenOutcome::Pending) {
    ScheduleOperation(aKey, WaitLimit(aOperation));
    return;
  }
  OnTokenDecision(aKey, decision, aNow);
}

void
ProxyCore::OnTokenDecision(OperationKey aOperation,
                           const TokenDecision& aDecision,
                           TimePoint aNow)
{
  const auto found = mOperations.find(aOperation);
  if (found == mOperations.end() ||
      found->second.mStage != OperationStage::AwaitingToken ||
      found->second.mAdvancedToken) {
    return;
  }
  Operation& operation = found->second;
  switch (aDecision.mOutcome) {
    case TokenOutcome::Granted:
      if (aDecision.mUsableAt > aNow) {
        mHooks.mCount("rate_limit_delayed");
        operation.mAdvancedToken = aDecision;
        ScheduleOperation(aOperation, aDecision.mUsableAt);
        return;
      }
      operation.mTokenExpiresAt = aDecision.mExpiresAt;
      operation.mStage = OperationStage::Waiting;
      SubmitOperation(aOperation, operation, aNow);
      return;
    case TokenOutcome::Refused:
      mHooks.mCount("rate_limit_refused");
      FailOperation(
        aOperation,
        AnswerCode::TooMany,
        fmt::format(
          "over the customer's rate limit, retry after {} ms",
          std::chrono::ceil<std::chrono::milliseconds>(aDecision.mRetryAfter).count()),
        aNow);
      return;
    case TokenOutcome::Unavailable:
      mHooks.mCount("rate_limit_unavailable");
      FailOperation(
        aOperation, AnswerCode::Busy, "the rate limit can't be checked", aNow);
      return;
    case TokenOutcome::Pending:
      return;
  }
}

void
ProxyCore::OnTokenTimer(OperationKey aKey, Operation& aOperation, TimePoint aNow)
{
  if (!aOperation.mAdvancedToken) {
    FailOperation(aKey, AnswerCode::Busy, "the rate limit was not checked in time", aNow);
    return;
  }
  if (aOperation.mAdvancedToken->mUsableAt <= aNow) {
    const TokenDecision decision = *aOperation.mAdvancedToken;
    aOperation.mAdvancedToken.reset();
    OnTokenDecision(aKey, decision, aNow);
  }
}

} // namespace papayaspindle::proxy
