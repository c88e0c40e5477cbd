#include "decision/write/retrypolicy.h"

#include <algorithm>
#include <utility>

namespace papayaspindle {

std::optional<SendOutcome>
SendOutcomeOf(ErrorKind aKind)
{
  switch (aKind) {
    case ErrorKind::MemberUnreachable:
    case ErrorKind::PeerUnreachable:
    case ErrorKind::NoPrimary:
    case ErrorKind::NoFreshReplica:
      return SendOutcome::NothingSent;
    case ErrorKind::StaleTerm:
    case ErrorKind::TransactionAborted:
      return SendOutcome::RefusedBeforeRun;
    case ErrorKind::OutcomeUnknown:
      return SendOutcome::MaybeSent;
    default:
      return std::nullopt;
  }
}

RetryPolicy::RetryPolicy(RequestClass aClass,
                         TimePoint aDeadline,
                         const RetrySettings& aSettings,
                         RandomHook aRandom)
  : mClass(aClass)
  , mDeadline(aDeadline)
  , mSettings(aSettings)
  , mRandom(std::move(aRandom))
{
}

RetryDecision
RetryPolicy::OnFailure(SendOutcome aKnowledge, TimePoint aNow)
{
  ++mAttempts;
  mMaybeSent = mMaybeSent || aKnowledge == SendOutcome::MaybeSent;
  RetryDecision decision;
  decision.mExecution = ExecutionSoFar();
  if (!MayRetry() || mAttempts >= mSettings.mMaxAttempts) {
    return decision;
  }
  decision.mPause = NextBackoff();
  decision.mMayRetry = aNow + decision.mPause + mSettings.mMinAttemptTime <= mDeadline;
  return decision;
}

Execution
RetryPolicy::ExecutionSoFar() const
{
  // When its connection ends, the member rolls back an uncommitted transaction.
  const bool certain = !mMaybeSent || mClass == RequestClass::TransactionStatement;
  return certain ? Execution::NotRun : Execution::Unknown;
}

bool
RetryPolicy::MayRetry() const
{
  switch (mClass) {
    case RequestClass::Read:
    case RequestClass::WriteWithId:
      return true;
    case RequestClass::WriteWithoutId:
      return !mMaybeSent;
    case RequestClass::TransactionStatement:
    case RequestClass::Commit:
      return false;
  }
  return false;
}

Duration
RetryPolicy::NextBackoff()
{
  constexpr std::uint32_t kMaxDoublings = 16;
  const std::uint32_t doublings = std::min(mAttempts - 1, kMaxDoublings);
  const Duration full =
    std::min<Duration>(mSettings.mBackoffMin * (1U << doublings), mSettings.mBackoffMax);
  const Duration half = full / 2;
  const auto jitterRange = static_cast<std::uint64_t>((full - half).count()) + 1;
  return half + Duration(static_cast<Duration::rep>(mRandom() % jitterRange));
}

} // namespace papayaspindle
