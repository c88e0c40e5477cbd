#include "daemon/statements/requestforwarder.h"

#include "convert/convert.h"
#include "daemon/statements/attempt.h"
#include "daemon/statements/statementsettings.h"
#include "interfaces/homes.h"
#include "interfaces/instances.h"
#include "interfaces/peercalls.h"
#include "observe/tracer.h"

#include <algorithm>
#include <utility>

namespace papayaspindle {

namespace {

using std::chrono::milliseconds;

/** @return whether the reply is of the kind that the request asks for */
bool
IsReplyTo(const v1::ForwardRequest& aRequest, const v1::ForwardReply& aReply)
{
  switch (aReply.reply_case()) {
    case v1::ForwardReply::kExecute:
      return aRequest.has_execute() || aRequest.has_commit();
    case v1::ForwardReply::kBegin:
      return aRequest.has_begin();
    case v1::ForwardReply::kRollback:
      return aRequest.has_rollback();
    case v1::ForwardReply::kOutcome:
      return aRequest.has_outcome();
    default:
      return aReply.has_error();
  }
}

/** @return what the failure of a home says; more errors help at another home than at
 * another attempt here */
std::optional<SendOutcome>
KnowledgeAtHome(ErrorKind aKind)
{
  if (aKind == ErrorKind::Draining || aKind == ErrorKind::PeerNotTrusted) {
    return SendOutcome::NothingSent;
  }
  return SendOutcomeOf(aKind);
}

} // namespace

std::optional<Error>
ErrorIn(const v1::ForwardReply& aReply)
{
  const auto errorOf = [](const auto& aMessage) {
    return aMessage.has_error() ? std::optional(FromMessage(aMessage.error()))
                                : std::nullopt;
  };
  switch (aReply.reply_case()) {
    case v1::ForwardReply::kExecute:
      return errorOf(aReply.execute());
    case v1::ForwardReply::kBegin:
      return errorOf(aReply.begin());
    case v1::ForwardReply::kRollback:
      return errorOf(aReply.rollback());
    case v1::ForwardReply::kOutcome:
      return errorOf(aReply.outcome());
    default:
      return errorOf(aReply);
  }
}

RequestForwarder::RequestForwarder(const References& aReferences,
                                   const StatementSettings& aSettings,
                                   const StatementHooks& aHooks)
  : mReferences(aReferences)
  , mSettings(aSettings)
  , mHooks(aHooks)
{
}

std::vector<InstanceId>
RequestForwarder::HomesFor(const ForwardTask& aTask) const
{
  if (aTask.mOnlyHome) {
    return { *aTask.mOnlyHome };
  }
  const auto self = mReferences.mInstances.Self();
  auto homes = mReferences.mHomes.HomesOf(aTask.mGroup);
  std::erase(homes, self.mInstance);
  std::stable_partition(homes.begin(), homes.end(), [&](const InstanceId& aHome) {
    const auto info = mReferences.mInstances.Find(aHome);
    return info && info->mAvailabilityZone == self.mAvailabilityZone;
  });
  return homes;
}

Result<v1::ForwardReply>
RequestForwarder::Forward(ForwardTask aTask) const
{
  aTask.mMessage.set_from_instance(mReferences.mInstances.Self().mInstance.Text());
  RetryPolicy policy(aTask.mClass, aTask.mDeadline, mSettings.mRetries, mHooks.mRandom);
  Duration attemptTime = mSettings.mFirstForward;
  for (;;) {
    // Membership may have changed since the last round.
    const auto homes = HomesFor(aTask);
    RetryDecision decision;
    for (const auto& home : homes) {
      auto reply = SendTo(aTask, home, attemptTime);
      const auto error = IsOk(reply) ? ErrorIn(ValueOf(reply)) : ErrorOf(reply);
      if (!error) {
        return reply;
      }
      decision = DecisionAfter(KnowledgeAtHome(error->mKind), policy, mHooks.mNow());
      if (!decision.mMayRetry) {
        const auto final = FinalError(policy, *error);
        const bool keepsReply = IsOk(reply) && final.mKind == error->mKind;
        return keepsReply ? std::move(reply) : final;
      }
    }
    if (homes.empty()) {
      return FinalError(policy, { ErrorKind::PeerUnreachable, "" });
    }
    mHooks.mPause(decision.mPause);
    attemptTime *= 2;
  }
}

Result<v1::ForwardReply>
RequestForwarder::SendTo(const ForwardTask& aTask,
                         const InstanceId& aHome,
                         Duration aAttemptTime) const
{
  const auto info = mReferences.mInstances.Find(aHome);
  if (!info) {
    return Error{ ErrorKind::PeerUnreachable, "" };
  }
  const auto left = std::min(aTask.mDeadline - mHooks.mNow(), aAttemptTime);
  const auto timeout = std::chrono::floor<milliseconds>(left);
  const auto remaining = timeout - mSettings.mForwardMargin;
  if (remaining <= milliseconds::zero()) {
    return Error{ ErrorKind::DeadlineBeforeStart, "" };
  }
  auto span = mReferences.mTracer.Start("peer_forward", aTask.mTraceparent);
  span.SetAttribute("home", aHome.Text());
  auto message = aTask.mMessage;
  message.set_remaining_ms(static_cast<std::uint64_t>(remaining.count()));
  const auto body = mReferences.mPeers.Call({ info->mPeerAddress,
                                              "Forward",
                                              message.SerializeAsString(),
                                              span.Traceparent(),
                                              timeout });
  if (!IsOk(body)) {
    span.SetError(ErrorOf(body).mMessage);
    return ErrorOf(body);
  }
  v1::ForwardReply reply;
  // A reply that does not fit may belong to another request, so nothing is known of this
  // one.
  if (!reply.ParseFromString(ValueOf(body)) || !IsReplyTo(aTask.mMessage, reply)) {
    return Error{ ErrorKind::OutcomeUnknown,
                  "the home's reply does not fit the request" };
  }
  return reply;
}

} // namespace papayaspindle
