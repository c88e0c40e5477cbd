#include "standin/backendservice.h"

#include "convert/convert.h"
#include "standin/guardedcall.h"

namespace papayaspindle::standin {

namespace {

/** Pause between two batches without entries, which tell followers that the primary is
 * there. */
constexpr std::chrono::milliseconds kReplicationHeartbeat{ 50 };
/** Added to the sequence of a garbled answer. */
constexpr std::uint64_t kGarbledSequenceOffset = 1'000'003;

bool
RefusedBeforeRun(v1::MemberError aError)
{
  return aError != v1::MEMBER_ERROR_NONE && aError != v1::MEMBER_ERROR_STATEMENT_FAILED &&
         aError != v1::MEMBER_ERROR_ABORTED;
}

/** @return whether the answer says that the request changed the group */
bool
Changed(const v1::SessionRequest& aRequest, const v1::SessionAnswer& aAnswer)
{
  return aAnswer.error() == v1::MEMBER_ERROR_NONE &&
         (aRequest.kind() == v1::STATEMENT_KIND_COMMIT || aRequest.write());
}

} // namespace

BackendService::BackendService(Member& aMember,
                               FaultSwitches& aSwitches,
                               const BackendLimits& aLimits)
  : mMember(aMember)
  , mSwitches(aSwitches)
  , mLimits(aLimits)
  , mConnections(aLimits.mMaxConnections)
  , mSlots(aLimits.mSlots)
{
}

grpc::Status
BackendService::Session(grpc::ServerContext* aContext, Stream* aStream)
{
  const FaultSwitches::OpenCall call(mSwitches, *aContext);
  if (!mSwitches.AdmitCall(*aContext)) {
    return EndedByFault();
  }
  if (!mConnections.Enter()) {
    v1::SessionRequest request;
    if (aStream->Read(&request)) {
      v1::SessionAnswer refusal;
      refusal.set_sequence(request.sequence());
      refusal.set_error(v1::MEMBER_ERROR_TOO_MANY_CONNECTIONS);
      refusal.set_message("the member's connection limit is reached");
      refusal.set_term(mMember.Status().term());
      aStream->Write(refusal);
    }
    return grpc::Status::OK;
  }
  const std::uint64_t generation = mSwitches.ConnectionGeneration();
  if (mSwitches.Pause(*aContext, mLimits.mConnectDelay)) {
    aStream->SendInitialMetadata();
    ServeConnection(*aContext, *aStream, generation);
  }
  mConnections.Leave();
  return mSwitches.Current().down() ? EndedByFault() : grpc::Status::OK;
}

void
BackendService::ServeConnection(grpc::ServerContext& aContext,
                                Stream& aStream,
                                std::uint64_t aGeneration)
{
  SessionState session;
  v1::SessionRequest request;
  while (aStream.Read(&request)) {
    if (mSwitches.IsSilent(aGeneration)) {
      mSwitches.HoldUntilEnded(aContext);
      return;
    }
    v1::SessionAnswer answer;
    if (!mSwitches.AdmitCall(aContext) ||
        !RunInSlot(aContext, session, request, answer)) {
      return;
    }
    if (Changed(request, answer) && mSwitches.TakeLostAnswer()) {
      continue;
    }
    if (!mSwitches.AdmitAnswer(aContext)) {
      return;
    }
    if (mSwitches.IsSilent(aGeneration)) {
      mSwitches.HoldUntilEnded(aContext);
      return;
    }
    if (mSwitches.Current().garble_answers()) {
      answer.set_sequence(answer.sequence() + kGarbledSequenceOffset);
    }
    if (!aStream.Write(answer)) {
      return;
    }
  }
}

bool
BackendService::RunInSlot(grpc::ServerContext& aContext,
                          SessionState& aSession,
                          const v1::SessionRequest& aRequest,
                          v1::SessionAnswer& aAnswer)
{
  const auto ended = [&] { return aContext.IsCancelled() || mSwitches.IsStopping(); };
  if (aRequest.kind() == v1::STATEMENT_KIND_PING) {
    aAnswer = mMember.Run(aSession, aRequest);
    return true;
  }
  if (!mSlots.Acquire(ended)) {
    return false;
  }
  const bool open = mLimits.mStatementDelay.count() == 0 ||
                    mSwitches.Pause(aContext, mLimits.mStatementDelay);
  if (open) {
    aAnswer = mMember.Run(aSession, aRequest);
    if (!RefusedBeforeRun(aAnswer.error())) {
      ++mStatementsRun;
    }
  }
  mSlots.Release();
  return open;
}

grpc::Status
BackendService::Status(grpc::ServerContext* aContext,
                       const v1::StatusRequest* /*aRequest*/,
                       v1::StatusReply* aReply)
{
  return GuardedCall(mSwitches, *aContext, [&] {
    *aReply = mMember.Status();
    Complete(*aReply);
    return false;
  });
}

grpc::Status
BackendService::WaitForPosition(grpc::ServerContext* aContext,
                                const v1::WaitForPositionRequest* aRequest,
                                v1::StatusReply* aReply)
{
  return GuardedCall(mSwitches, *aContext, [&] {
    mMember.WaitForPosition(*aRequest, [&] { return aContext->IsCancelled(); });
    *aReply = mMember.Status();
    Complete(*aReply);
    return false;
  });
}

grpc::Status
BackendService::RaiseTerm(grpc::ServerContext* aContext,
                          const v1::RaiseTermRequest* aRequest,
                          v1::RaiseTermReply* aReply)
{
  return GuardedCall(mSwitches, *aContext, [&] {
    *aReply = mMember.Raise(*aRequest);
    Complete(*aReply->mutable_status());
    return aReply->granted();
  });
}

grpc::Status
BackendService::Promote(grpc::ServerContext* aContext,
                        const v1::PromoteRequest* aRequest,
                        v1::PromoteReply* aReply)
{
  return GuardedCall(mSwitches, *aContext, [&] {
    *aReply = mMember.Promote(*aRequest);
    Complete(*aReply->mutable_status());
    return aReply->promoted();
  });
}

grpc::Status
BackendService::Follow(grpc::ServerContext* aContext,
                       const v1::FollowRequest* aRequest,
                       v1::FollowReply* aReply)
{
  return GuardedCall(mSwitches, *aContext, [&] {
    *aReply = mMember.Follow(*aRequest);
    Complete(*aReply->mutable_status());
    return aReply->following();
  });
}

grpc::Status
BackendService::Replicate(grpc::ServerContext* aContext,
                          const v1::ReplicateRequest* aRequest,
                          grpc::ServerWriter<v1::ReplicateBatch>* aWriter)
{
  const FaultSwitches::OpenCall call(mSwitches, *aContext);
  if (!mSwitches.AdmitCall(*aContext)) {
    return EndedByFault();
  }
  const std::uint64_t generation = mSwitches.ConnectionGeneration();
  std::optional<v1::ReplicateBatch> batch = mMember.FirstBatch(*aRequest);
  std::uint64_t sent = batch.has_value() ? batch->common().index() : 0;
  while (batch.has_value()) {
    if (mSwitches.IsSilent(generation)) {
      mSwitches.HoldUntilEnded(*aContext);
      return grpc::Status::OK;
    }
    if (!mSwitches.AdmitCall(*aContext) || !aWriter->Write(*batch)) {
      return EndedByFault();
    }
    sent += static_cast<std::uint64_t>(batch->entries_size());
    batch = mMember.NextBatch(aRequest->term(), sent, kReplicationHeartbeat);
  }
  return { grpc::StatusCode::FAILED_PRECONDITION, "not the primary of that term" };
}

grpc::Status
BackendService::FindRequest(grpc::ServerContext* aContext,
                            const v1::FindRequestRequest* aRequest,
                            v1::FindRequestReply* aReply)
{
  return GuardedCall(mSwitches, *aContext, [&] {
    *aReply = mMember.FindRequest(aRequest->request_id());
    Complete(*aReply->mutable_status());
    return false;
  });
}

void
BackendService::ReadLog(const v1::ReadLogRequest& aRequest,
                        v1::ReadLogReply& aReply) const
{
  mMember.ReadLog(aRequest, aReply);
  Complete(*aReply.mutable_status());
  aReply.set_statements_run(mStatementsRun);
  aReply.set_highest_connections(mConnections.Highest());
  aReply.set_refused_connections(mConnections.Refused());
}

void
BackendService::Complete(v1::StatusReply& aStatus) const
{
  aStatus.set_open_connections(mConnections.Open());
  aStatus.set_leaving(mSwitches.Current().leaving());
}

} // namespace papayaspindle::standin
