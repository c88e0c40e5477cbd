#include "proxy/proxycore.h"

#include <fmt/format.h>

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
  const TokenDecision decision = mHooks.mTakeToken(aOperation.mCustomer, aKey, aNow);
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
      found->second.mStage != OperationStage::AwaitingToken) {
    return;
  }
  Operation& operation = found->second;
  switch (aDecision.mOutcome) {
    case TokenOutcome::Granted:
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

} // namespace papayaspindle::proxy
