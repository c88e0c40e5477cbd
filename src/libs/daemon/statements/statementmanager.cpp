#include "daemon/statements/statementmanager.h"

#include "convert/convert.h"
#include "daemon/statements/freshnessboard.h"
#include "daemon/statements/homeserver.h"
#include "daemon/statements/memberloads.h"
#include "daemon/statements/replies.h"
#include "daemon/statements/requestforwarder.h"
#include "interfaces/homes.h"
#include "interfaces/instances.h"
#include "interfaces/peerhandlers.h"
#include "observe/tracer.h"

#include <algorithm>
#include <utility>

namespace papayaspindle {

namespace {

using std::chrono::milliseconds;

v1::Hop
HopOf(const InstanceInfo& aSelf, const char* aRole, Duration aTook)
{
  v1::Hop hop;
  hop.set_instance(aSelf.mInstance.Text());
  hop.set_role(aRole);
  hop.set_availability_zone(aSelf.mAvailabilityZone.Text());
  const auto took = std::chrono::duration_cast<std::chrono::microseconds>(aTook);
  hop.set_duration_us(
    static_cast<std::uint64_t>(std::max<std::int64_t>(took.count(), 0)));
  return hop;
}

void
PrependHop(v1::ForwardReply& aReply, v1::Hop aHop)
{
  if (!aReply.has_execute()) {
    return;
  }
  auto& hops = *aReply.mutable_execute()->mutable_hops();
  *hops.Add() = std::move(aHop);
  std::rotate(hops.begin(), hops.end() - 1, hops.end());
}

RequestClass
ClassOf(const v1::ForwardRequest& aMessage)
{
  switch (aMessage.request_case()) {
    case v1::ForwardRequest::kExecute:
      if (!aMessage.execute().transaction_id().empty()) {
        return RequestClass::TransactionStatement;
      }
      return aMessage.execute().access() == v1::ACCESS_MODE_WRITE
               ? RequestClass::WriteWithId
               : RequestClass::Read;
    case v1::ForwardRequest::kBegin:
      return RequestClass::WriteWithoutId;
    case v1::ForwardRequest::kCommit:
      return RequestClass::Commit;
    case v1::ForwardRequest::kRollback:
      return RequestClass::TransactionStatement;
    default:
      return RequestClass::Read;
  }
}

} // namespace

struct StatementManager::Private
{
  Private(const StatementReferences& aReferences,
          StatementSettings aSettings,
          StatementHooks aHooks);

  [[nodiscard]] TimePoint DeadlineOf(std::uint64_t aTimeoutMs) const;
  Result<v1::ForwardReply> Dispatch(ForwardTask aTask);
  v1::ForwardReply ServeHere(const ForwardTask& aTask);
  Result<std::string> OnForward(const PeerRequest& aRequest);
  template<typename Reply, typename Message>
  Reply Call(const Message& aMessage,
             std::uint64_t aTimeoutMs,
             const std::string& aTraceparent,
             Message* (v1::ForwardRequest::*aField)(),
             const Reply& (v1::ForwardReply::*aReply)() const);

  StatementReferences mReferences;
  StatementSettings mSettings;
  StatementHooks mHooks;
  SessionTokenCodec mTokens;
  RequestChecks mChecks;
  MemberLoads mLoads;
  ReplicationWatch mReplication;
  DataPath mPath;
  RequestForwarder mForwarder;
  HomeServer mHome;
};

StatementManager::Private::Private(const StatementReferences& aReferences,
                                   StatementSettings aSettings,
                                   StatementHooks aHooks)
  : mReferences(aReferences)
  , mSettings(std::move(aSettings))
  , mHooks(std::move(aHooks))
  , mTokens(mSettings.mTokens)
  , mChecks(aReferences.mGroups, mTokens, mSettings)
  , mReplication({ aReferences.mMembers, aReferences.mGroups, aReferences.mFreshness },
                 mSettings.mReplication,
                 mHooks)
  , mPath{ aReferences.mGroups,
           aReferences.mInstances,
           aReferences.mConnections,
           aReferences.mMembers,
           aReferences.mFreshness,
           aReferences.mTracer,
           mLoads,
           mReplication,
           mTokens,
           mSettings,
           mHooks }
  , mForwarder({ aReferences.mHomes,
                 aReferences.mInstances,
                 aReferences.mPeers,
                 aReferences.mTracer },
               mSettings,
               mHooks)
  , mHome(mPath, mChecks)
{
}

TimePoint
StatementManager::Private::DeadlineOf(std::uint64_t aTimeoutMs) const
{
  const auto longest = static_cast<std::uint64_t>(mSettings.mMaxTimeout.count());
  const milliseconds stated(
    static_cast<milliseconds::rep>(std::min(aTimeoutMs, longest)));
  return mHooks.mNow() + (aTimeoutMs == 0 ? mSettings.mDefaultTimeout : stated);
}

/** Serves a request here or at a home. */
Result<v1::ForwardReply>
StatementManager::Private::Dispatch(ForwardTask aTask)
{
  const auto self = mReferences.mInstances.Self();
  const bool isHome = mReferences.mHomes.OwnRank(aTask.mGroup) >= 0;
  if (!aTask.mOnlyHome && isHome) {
    return ServeHere(aTask);
  }
  if (aTask.mOnlyHome == self.mInstance) {
    return ServeHere(aTask);
  }
  if (aTask.mOnlyHome) {
    const auto home = mReferences.mInstances.Find(*aTask.mOnlyHome);
    if (!home || home->mLiveness == Liveness::Dead) {
      // The end of its connections rolled the home's open transactions back. A commit may
      // have run before; any other home can look its request id up.
      if (!aTask.mMessage.has_commit()) {
        return Error{ ErrorKind::UnknownTransaction, "" };
      }
      aTask.mOnlyHome.reset();
      aTask.mClass = RequestClass::Read;
      return Dispatch(std::move(aTask));
    }
  }
  return mForwarder.Forward(std::move(aTask));
}

v1::ForwardReply
StatementManager::Private::ServeHere(const ForwardTask& aTask)
{
  const auto start = mHooks.mNow();
  auto reply = mHome.Serve(aTask.mMessage, aTask.mDeadline, aTask.mTraceparent);
  PrependHop(reply, HopOf(mReferences.mInstances.Self(), "home", mHooks.mNow() - start));
  return reply;
}

Result<std::string>
StatementManager::Private::OnForward(const PeerRequest& aRequest)
{
  ForwardTask task;
  if (!task.mMessage.ParseFromString(aRequest.mBody)) {
    v1::ForwardReply reply;
    *reply.mutable_error() =
      ToMessage(Error{ ErrorKind::MalformedRequest, "the peer's request is damaged" });
    return reply.SerializeAsString();
  }
  // The default time limit does not apply: without time left, nothing is started.
  const auto longest = static_cast<std::uint64_t>(mSettings.mMaxTimeout.count());
  const auto remaining = std::min(task.mMessage.remaining_ms(), longest);
  task.mDeadline =
    mHooks.mNow() + milliseconds(static_cast<milliseconds::rep>(remaining));
  task.mTraceparent = aRequest.mTraceparent;
  return ServeHere(task).SerializeAsString();
}

/** Checks, dispatches and unwraps one call of a caller. */
template<typename Reply, typename Message>
Reply
StatementManager::Private::Call(const Message& aMessage,
                                std::uint64_t aTimeoutMs,
                                const std::string& aTraceparent,
                                Message* (v1::ForwardRequest::*aField)(),
                                const Reply& (v1::ForwardReply::*aReply)() const)
{
  const auto start = mHooks.mNow();
  const auto checked = mChecks.Check(aMessage);
  if (!IsOk(checked)) {
    return Refusal<Reply>(ErrorOf(checked));
  }
  ForwardTask task;
  *(task.mMessage.*aField)() = aMessage;
  task.mClass = ClassOf(task.mMessage);
  task.mDeadline = DeadlineOf(aTimeoutMs);
  task.mTraceparent = aTraceparent;
  task.mGroup = ValueOf(checked).mGroup.mGroup;
  if constexpr (requires { aMessage.transaction_id(); }) {
    if (const auto address =
          ParseTransactionId(TransactionId(aMessage.transaction_id()))) {
      task.mOnlyHome = address->mHome;
    }
  }
  auto reply = Dispatch(std::move(task));
  if (!IsOk(reply)) {
    return Refusal<Reply>(ErrorOf(reply));
  }
  auto& served = ValueOf(reply);
  if (served.has_error()) {
    return Refusal<Reply>(FromMessage(served.error()));
  }
  const auto self = mReferences.mInstances.Self();
  const bool isForwarded =
    served.has_execute() &&
    !(served.execute().hops_size() > 0 &&
      served.execute().hops(0).instance() == self.mInstance.Text());
  if (isForwarded) {
    PrependHop(served, HopOf(self, "entry", mHooks.mNow() - start));
  }
  return (served.*aReply)();
}

StatementManager::StatementManager(const StatementReferences& aReferences,
                                   StatementSettings aSettings,
                                   StatementHooks aHooks)
  : mPrivate(
      std::make_unique<Private>(aReferences, std::move(aSettings), std::move(aHooks)))
{
  aReferences.mHandlers.Register("Forward", [this](const PeerRequest& aRequest) {
    return mPrivate->OnForward(aRequest);
  });
}

StatementManager::~StatementManager() = default;

v1::ExecuteReply
StatementManager::Execute(const v1::ExecuteRequest& aRequest,
                          const std::string& aTraceparent)
{
  return mPrivate->Call(aRequest,
                        aRequest.timeout_ms(),
                        aTraceparent,
                        &v1::ForwardRequest::mutable_execute,
                        &v1::ForwardReply::execute);
}

v1::BeginReply
StatementManager::Begin(const v1::BeginRequest& aRequest, const std::string& aTraceparent)
{
  auto reply = mPrivate->Call(aRequest,
                              aRequest.timeout_ms(),
                              aTraceparent,
                              &v1::ForwardRequest::mutable_begin,
                              &v1::ForwardReply::begin);
  const bool isUnknown =
    reply.has_error() && FromMessage(reply.error()).mKind == ErrorKind::OutcomeUnknown;
  if (isUnknown) {
    // Nobody learns the id of a transaction that the home may have begun, so it is rolled
    // back when it has been idle.
    return Refusal<v1::BeginReply>({ ErrorKind::TransactionAborted, "" });
  }
  return reply;
}

v1::ExecuteReply
StatementManager::Commit(const v1::CommitRequest& aRequest,
                         const std::string& aTraceparent)
{
  return mPrivate->Call(aRequest,
                        aRequest.timeout_ms(),
                        aTraceparent,
                        &v1::ForwardRequest::mutable_commit,
                        &v1::ForwardReply::execute);
}

v1::RollbackReply
StatementManager::Rollback(const v1::RollbackRequest& aRequest,
                           const std::string& aTraceparent)
{
  return mPrivate->Call(aRequest,
                        0,
                        aTraceparent,
                        &v1::ForwardRequest::mutable_rollback,
                        &v1::ForwardReply::rollback);
}

v1::OutcomeReply
StatementManager::Outcome(const v1::OutcomeRequest& aRequest,
                          const std::string& aTraceparent)
{
  return mPrivate->Call(aRequest,
                        aRequest.timeout_ms(),
                        aTraceparent,
                        &v1::ForwardRequest::mutable_outcome,
                        &v1::ForwardReply::outcome);
}

void
StatementManager::CloseIdleTransactions()
{
  mPrivate->mHome.Transactions().CloseIdle();
}

std::size_t
StatementManager::OpenTransactions() const
{
  return mPrivate->mHome.Transactions().Count();
}

} // namespace papayaspindle
