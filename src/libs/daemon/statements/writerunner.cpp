#include "daemon/statements/writerunner.h"

#include "convert/convert.h"
#include "daemon/statements/attempt.h"
#include "daemon/statements/memberanswers.h"
#include "daemon/statements/membersession.h"
#include "daemon/statements/primaryaccess.h"
#include "daemon/statements/replies.h"
#include "daemon/statements/statementsettings.h"

#include <algorithm>
#include <utility>

namespace papayaspindle {

WriteRunner::WriteRunner(const DataPath& aPath)
  : mPath(aPath)
{
}

v1::ExecuteReply
WriteRunner::Run(HomeRequest& aRequest,
                 const std::string& aStatement,
                 const std::string& aRequestId) const
{
  const auto& hooks = mPath.mHooks;
  RetryPolicy policy(RequestClass::WriteWithId,
                     aRequest.mDeadline,
                     mPath.mSettings.mRetries,
                     hooks.mRandom);
  v1::SessionRequest message;
  message.set_kind(v1::STATEMENT_KIND_EXECUTE);
  message.set_write(true);
  message.set_statement(aStatement);
  message.set_request_id(aRequestId);
  auto leastTerm = aRequest.SessionPosition().mTerm;
  Duration attemptTime = mPath.mSettings.mFirstAttempt;
  for (;;) {
    const auto view =
      AwaitPrimary(mPath, aRequest.mGroup.mGroup, leastTerm, aRequest.mDeadline);
    if (!view) {
      return Refusal<v1::ExecuteReply>(FinalError(policy, { ErrorKind::NoPrimary, "" }));
    }
    const auto limit = hooks.mNow() + attemptTime;
    attemptTime *= 2;
    auto attempt =
      RunAt(aRequest, *view, message, std::min<TimePoint>(limit, aRequest.mDeadline));
    if (auto* reply = std::get_if<v1::ExecuteReply>(&attempt)) {
      return std::move(*reply);
    }
    const auto& failure = std::get<AttemptFailure>(attempt);
    const auto decision = DecisionAfter(failure.mKnowledge, policy, hooks.mNow());
    if (!decision.mMayRetry) {
      return Refusal<v1::ExecuteReply>(FinalError(policy, failure.mError));
    }
    leastTerm = std::max(leastTerm, failure.mMemberTerm);
    AwaitLaterView(mPath, *view, hooks.mNow() + decision.mPause);
  }
}

WriteRunner::Attempt
WriteRunner::RunAt(HomeRequest& aRequest,
                   const GroupView& aView,
                   const v1::SessionRequest& aMessage,
                   TimePoint aAttemptDeadline) const
{
  auto session =
    MemberSession::Open(mPath, aRequest, { aView.mPrimary, aView.mTerm, true, true });
  if (!IsOk(session)) {
    return FailureOf(ErrorOf(session));
  }
  auto answer = ValueOf(session)->Run(aMessage, aAttemptDeadline);
  if (!IsOk(answer) && ErrorOf(answer).mKind == ErrorKind::AnswerTooLarge) {
    // It ran, but without its answer there is no position to wait for. The repeat
    // answers without rows.
    return UnknownOutcome("the answer is too large");
  }
  if (!IsOk(answer)) {
    return FailureOf(ErrorOf(answer));
  }
  const auto error = ErrorIn(ValueOf(answer));
  if (error && error->mKind != ErrorKind::StatementFailed) {
    auto failure = FailureOf(*error);
    failure.mMemberTerm = ValueOf(answer).term();
    return failure;
  }
  if (ValueOf(answer).term() != aView.mTerm) {
    return UnknownOutcome("the backend server answered in another term");
  }
  // The connection serves others during the wait for replication.
  ValueOf(session)->Release();
  return Acknowledge(aRequest, aView, std::move(ValueOf(answer)));
}

WriteRunner::Attempt
WriteRunner::Acknowledge(HomeRequest& aRequest,
                         const GroupView& aView,
                         v1::SessionAnswer&& aAnswer) const
{
  const auto position = FromMessage(aAnswer.position());
  if (const auto error = ErrorIn(aAnswer)) {
    // What made the statement fail has to be certain, as for a read.
    const auto outcome = AwaitConfirmation(mPath, aRequest, aView, position);
    if (outcome != ReplicationOutcome::Acknowledged) {
      return UnknownOutcome("the failure was not confirmed by a majority");
    }
    return AttemptFailure{ *error, std::nullopt };
  }
  if (AwaitAcknowledgement(mPath, aRequest, aView, position) !=
      ReplicationOutcome::Acknowledged) {
    return UnknownOutcome("the write was not acknowledged by a majority in time");
  }
  v1::ExecuteReply reply;
  reply.mutable_rows()->Swap(aAnswer.mutable_rows());
  reply.set_affected(aAnswer.affected());
  reply.set_repeated(aAnswer.repeated());
  *reply.mutable_position() = aAnswer.position();
  return reply;
}

} // namespace papayaspindle
