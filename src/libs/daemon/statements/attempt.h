#pragma once

#include "core/error.h"
#include "decision/write/retrypolicy.h"

#include <optional>

namespace papayaspindle {

/** One attempt of a request that failed. */
struct AttemptFailure
{
  Error mError;
  /** Nothing when another attempt cannot help. */
  std::optional<SendOutcome> mKnowledge;
  /** Term of the member that refused; 0 when none is known. */
  std::uint64_t mMemberTerm = 0;
};

/** @return the failure that an error means for an attempt */
inline AttemptFailure
FailureOf(const Error& aError)
{
  return { aError, SendOutcomeOf(aError.mKind) };
}

/** @return the failure of an attempt that may have run */
inline AttemptFailure
UnknownOutcome(const char* aMessage)
{
  return FailureOf({ ErrorKind::OutcomeUnknown, aMessage });
}

/** @return whether and when to try again; never when another attempt cannot help */
inline RetryDecision
DecisionAfter(std::optional<SendOutcome> aKnowledge, RetryPolicy& aPolicy, TimePoint aNow)
{
  return aKnowledge ? aPolicy.OnFailure(*aKnowledge, aNow) : RetryDecision();
}

/**
 * @param aPolicy policy that was told of every attempt that may be repeated
 * @param aLast error of the last attempt
 * @return what to answer: a refusal of the last attempt says nothing of an earlier one
 * that may have run
 */
inline Error
FinalError(const RetryPolicy& aPolicy, const Error& aLast)
{
  const bool isUnknown = aPolicy.ExecutionSoFar() == Execution::Unknown &&
                         AnswerFor(aLast.mKind).mExecution != Execution::Unknown;
  return isUnknown ? Error{ ErrorKind::OutcomeUnknown, "" } : aLast;
}

} // namespace papayaspindle
