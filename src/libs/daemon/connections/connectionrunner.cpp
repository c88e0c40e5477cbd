#include "daemon/connections/connectionrunner.h"

#include <utility>

namespace papayaspindle {

namespace {

std::optional<InvalidationReason>
CondemnationFor(ErrorKind aKind, bool aDeadlinePassed)
{
  switch (aKind) {
    case ErrorKind::StatementTooLarge:
    case ErrorKind::DeadlineBeforeStart:
      return std::nullopt;
    case ErrorKind::AnswerTooLarge:
      return InvalidationReason::Oversized;
    case ErrorKind::MemberUnreachable:
      return InvalidationReason::Lost;
    default:
      return aDeadlinePassed ? InvalidationReason::Unresponsive
                             : InvalidationReason::Truncated;
  }
}

} // namespace

RunOutcome
RunOnce(const ConnectionTurn& aTurn,
        v1::SessionRequest aRequest,
        TimePoint aDeadline,
        const NowHook& aNow)
{
  aRequest.set_sequence(aTurn.mSequence);
  RunOutcome outcome;
  outcome.mSentAt = aNow();
  outcome.mAnswer = aTurn.mEntry.mConnection->Run(aRequest, aDeadline);
  if (!IsOk(outcome.mAnswer)) {
    outcome.mCondemned =
      CondemnationFor(ErrorOf(outcome.mAnswer).mKind, aNow() >= aDeadline);
    return outcome;
  }
  if (ValueOf(outcome.mAnswer).sequence() != aTurn.mSequence) {
    outcome.mAnswer =
      Error{ ErrorKind::OutcomeUnknown, "the answer belongs to another request" };
    outcome.mCondemned = InvalidationReason::SequenceMismatch;
    return outcome;
  }
  if (ValueOf(outcome.mAnswer).error() == v1::MEMBER_ERROR_TOO_MANY_CONNECTIONS) {
    // The member ran nothing and will run nothing on this connection.
    outcome.mAnswer =
      Error{ ErrorKind::MemberUnreachable, "the member has too many connections" };
    outcome.mCondemned = InvalidationReason::Lost;
  }
  return outcome;
}

} // namespace papayaspindle
