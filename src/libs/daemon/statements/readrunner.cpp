#include "daemon/statements/readrunner.h"

#include "convert/convert.h"
#include "daemon/statements/attempt.h"
#include "daemon/statements/freshnessboard.h"
#include "daemon/statements/memberanswers.h"
#include "daemon/statements/memberloads.h"
#include "daemon/statements/membersession.h"
#include "daemon/statements/primaryaccess.h"
#include "daemon/statements/replies.h"
#include "daemon/statements/statementsettings.h"
#include "interfaces/groups.h"
#include "interfaces/instances.h"
#include "interfaces/membercontrol.h"

#include <algorithm>
#include <utility>

namespace papayaspindle {

namespace {

using std::chrono::milliseconds;

v1::SessionRequest
ReadMessage(const std::string& aStatement)
{
  v1::SessionRequest message;
  message.set_kind(v1::STATEMENT_KIND_EXECUTE);
  message.set_statement(aStatement);
  return message;
}

v1::ExecuteReply
ReplyOf(v1::SessionAnswer&& aAnswer)
{
  v1::ExecuteReply reply;
  reply.mutable_rows()->Swap(aAnswer.mutable_rows());
  *reply.mutable_position() = aAnswer.position();
  return reply;
}

} // namespace

ReadRunner::ReadRunner(const DataPath& aPath)
  : mPath(aPath)
  , mChooser(aPath.mSettings.mReads,
             [&aPath](const MemberId& aMember) { return aPath.mLoads.Of(aMember); })
{
}

v1::ExecuteReply
ReadRunner::Run(HomeRequest& aRequest,
                const std::string& aStatement,
                Duration aMaxStaleness) const
{
  const auto& hooks = mPath.mHooks;
  RetryPolicy policy(
    RequestClass::Read, aRequest.mDeadline, mPath.mSettings.mRetries, hooks.mRandom);
  Placement placement{ {}, aStatement, {} };
  auto& question = placement.mQuestion;
  question.mGroup = aRequest.mGroup;
  question.mSessionPosition = aRequest.SessionPosition();
  question.mMaxStaleness = aMaxStaleness;
  question.mOwnZone = mPath.mInstances.Self().mAvailabilityZone;
  Duration attemptTime = mPath.mSettings.mFirstAttempt;
  for (;;) {
    question.mView = mPath.mGroups.View(aRequest.mGroup.mGroup);
    question.mView.mGroup = aRequest.mGroup.mGroup;
    question.mNow = hooks.mNow();
    question.mTimeLeft = aRequest.mDeadline - question.mNow;
    const auto action = mPath.mFreshness.Choose(mChooser, question);
    if (const auto* wait = std::get_if<WaitForReplica>(&action)) {
      WaitFor(aRequest, *wait);
      question.mHasWaited = true;
      continue;
    }
    placement.mAttemptDeadline =
      std::min(aRequest.mDeadline, question.mNow + attemptTime);
    attemptTime *= 2;
    const auto excluded = question.mExcluded.size();
    auto attempt = Serve(aRequest, placement, action);
    if (auto* reply = std::get_if<v1::ExecuteReply>(&attempt)) {
      return std::move(*reply);
    }
    const auto& failure = std::get<AttemptFailure>(attempt);
    const auto decision = DecisionAfter(failure.mKnowledge, policy, hooks.mNow());
    if (!decision.mMayRetry) {
      return Refusal<v1::ExecuteReply>(FinalError(policy, failure.mError));
    }
    if (question.mExcluded.size() == excluded) {
      AwaitLaterView(mPath, question.mView, hooks.mNow() + decision.mPause);
      question.mExcluded.clear();
    }
  }
}

ReadRunner::Attempt
ReadRunner::Serve(HomeRequest& aRequest,
                  Placement& aPlacement,
                  const ReadAction& aAction) const
{
  if (const auto* replica = std::get_if<ServeFromReplica>(&aAction)) {
    auto attempt = FromReplica(aRequest, aPlacement, *replica);
    if (std::holds_alternative<AttemptFailure>(attempt)) {
      aPlacement.mQuestion.mExcluded.insert(replica->mMember);
    }
    return attempt;
  }
  if (std::holds_alternative<ServeFromPrimary>(aAction)) {
    return FromPrimary(aRequest, aPlacement);
  }
  const auto* refusal = std::get_if<RefuseRead>(&aAction);
  const auto kind = refusal != nullptr ? refusal->mKind : ErrorKind::NoFreshReplica;
  return AttemptFailure{ { kind, "" }, SendOutcome::NothingSent };
}

ReadRunner::Attempt
ReadRunner::FromReplica(HomeRequest& aRequest,
                        Placement& aPlacement,
                        const ServeFromReplica& aAction) const
{
  const auto& question = aPlacement.mQuestion;
  const auto term = question.mView.mTerm;
  auto session =
    MemberSession::Open(mPath, aRequest, { aAction.mMember, term, false, false });
  if (!IsOk(session)) {
    // Another member may have a free connection.
    return AttemptFailure{ ErrorOf(session), SendOutcome::NothingSent };
  }
  auto answer = ValueOf(session)->Run(ReadMessage(aPlacement.mStatement),
                                      aPlacement.mAttemptDeadline);
  ValueOf(session)->Release();
  if (!IsOk(answer)) {
    return FailureOf(ErrorOf(answer));
  }
  const auto error = ErrorIn(ValueOf(answer));
  if (error && error->mKind != ErrorKind::StatementFailed) {
    return FailureOf(*error);
  }
  // The answer is checked again, because the replica may have moved to another term or
  // the read may have waited since it was placed.
  const auto position = FromMessage(ValueOf(answer).position());
  if (ValueOf(answer).term() != term || position < question.mSessionPosition) {
    return UnknownOutcome("the replica's answer is behind the session");
  }
  const auto atChoice = question.mNow - aAction.mProvenAge;
  const auto provenAsOf = std::max(
    mPath.mFreshness.ProvenAsOf(aRequest.mGroup, position, term).value_or(atChoice),
    atChoice);
  const auto age = std::max(mPath.mHooks.mNow() - provenAsOf, Duration::zero());
  if (age > mChooser.MaxStaleness(question)) {
    return UnknownOutcome("the replica's answer is too old");
  }
  if (error) {
    return AttemptFailure{ *error, std::nullopt };
  }
  auto reply = ReplyOf(std::move(ValueOf(answer)));
  reply.set_served_by_replica(true);
  reply.set_proven_age_ms(
    static_cast<std::uint64_t>(std::chrono::ceil<milliseconds>(age).count()));
  return reply;
}

ReadRunner::Attempt
ReadRunner::FromPrimary(HomeRequest& aRequest, const Placement& aPlacement) const
{
  const auto& view = aPlacement.mQuestion.mView;
  auto session =
    MemberSession::Open(mPath, aRequest, { view.mPrimary, view.mTerm, true, false });
  if (!IsOk(session)) {
    return FailureOf(ErrorOf(session));
  }
  auto answer = ValueOf(session)->Run(ReadMessage(aPlacement.mStatement),
                                      aPlacement.mAttemptDeadline);
  if (!IsOk(answer)) {
    return FailureOf(ErrorOf(answer));
  }
  const auto error = ErrorIn(ValueOf(answer));
  if (error && error->mKind != ErrorKind::StatementFailed) {
    return FailureOf(*error);
  }
  const auto position = FromMessage(ValueOf(answer).position());
  if (ValueOf(answer).term() != view.mTerm ||
      position < aPlacement.mQuestion.mSessionPosition) {
    return UnknownOutcome("the primary's answer is behind the session");
  }
  ValueOf(session)->Release();
  if (AwaitConfirmation(mPath, aRequest, view, position) !=
      ReplicationOutcome::Acknowledged) {
    return UnknownOutcome("the primary's answer was not confirmed by a majority");
  }
  if (error) {
    return AttemptFailure{ *error, std::nullopt };
  }
  return ReplyOf(std::move(ValueOf(answer)));
}

void
ReadRunner::WaitFor(const HomeRequest& aRequest, const WaitForReplica& aAction) const
{
  const auto& members = aRequest.mGroup.mMembers;
  const auto member =
    std::find_if(members.begin(), members.end(), [&](const MemberSettings& aMember) {
      return aMember.mMember == aAction.mMember;
    });
  const auto timeout = std::chrono::ceil<milliseconds>(aAction.mMaxWait);
  if (member == members.end()) {
    return;
  }
  const auto askedAt = mPath.mHooks.mNow();
  const auto reply = mPath.mMembers.WaitForPosition(
    member->mAddress, aAction.mPosition, PositionReached::Applied, timeout);
  const auto& group = aRequest.mGroup.mGroup;
  const auto now = mPath.mHooks.mNow();
  bool isReached = false;
  if (IsOk(reply)) {
    mPath.mFreshness.OnStatus(group, aAction.mMember, ValueOf(reply), askedAt);
    isReached = FromMessage(ValueOf(reply).applied()) >= aAction.mPosition;
  }
  // The member gives up a little before the time is over. Taking that for its catch-up
  // time would make every read wait for a replica that is seconds behind.
  const Duration took = isReached ? now - askedAt : 2 * aAction.mMaxWait;
  mPath.mFreshness.OnCatchUp(group, aAction.mMember, took, now);
}

} // namespace papayaspindle
