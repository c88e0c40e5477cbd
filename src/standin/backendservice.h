#pragma once

#include "backend.grpc.pb.h"
#include "standin.pb.h"

#include "standin/connectioncounter.h"
#include "standin/member.h"
#include "standin/statementslots.h"

#include <atomic>
#include <chrono>
#include <cstdint>

namespace papayaspindle::standin {

class FaultSwitches;

/** Limits and delays of a member. */
struct BackendLimits
{
  std::uint32_t mMaxConnections = 0;
  std::uint32_t mSlots = 0;
  std::chrono::milliseconds mConnectDelay{};
  std::chrono::microseconds mStatementDelay{};
};

/** The Backend service of one member, under the fault switches. */
class BackendService : public v1::Backend::Service
{
public:
  BackendService(Member& aMember, FaultSwitches& aSwitches, const BackendLimits& aLimits);

  grpc::Status Session(
    grpc::ServerContext* aContext,
    grpc::ServerReaderWriter<v1::SessionAnswer, v1::SessionRequest>* aStream) override;
  grpc::Status Status(grpc::ServerContext* aContext,
                      const v1::StatusRequest* aRequest,
                      v1::StatusReply* aReply) override;
  grpc::Status WaitForPosition(grpc::ServerContext* aContext,
                               const v1::WaitForPositionRequest* aRequest,
                               v1::StatusReply* aReply) override;
  grpc::Status RaiseTerm(grpc::ServerContext* aContext,
                         const v1::RaiseTermRequest* aRequest,
                         v1::RaiseTermReply* aReply) override;
  grpc::Status Promote(grpc::ServerContext* aContext,
                       const v1::PromoteRequest* aRequest,
                       v1::PromoteReply* aReply) override;
  grpc::Status Follow(grpc::ServerContext* aContext,
                      const v1::FollowRequest* aRequest,
                      v1::FollowReply* aReply) override;
  grpc::Status Replicate(grpc::ServerContext* aContext,
                         const v1::ReplicateRequest* aRequest,
                         grpc::ServerWriter<v1::ReplicateBatch>* aWriter) override;
  grpc::Status FindRequest(grpc::ServerContext* aContext,
                           const v1::FindRequestRequest* aRequest,
                           v1::FindRequestReply* aReply) override;

  /** Fills the reply of the Faults service's ReadLog. */
  void ReadLog(const v1::ReadLogRequest& aRequest, v1::ReadLogReply& aReply) const;

private:
  using Stream = grpc::ServerReaderWriter<v1::SessionAnswer, v1::SessionRequest>;

  void ServeConnection(grpc::ServerContext& aContext,
                       Stream& aStream,
                       std::uint64_t aGeneration);
  bool RunInSlot(grpc::ServerContext& aContext,
                 SessionState& aSession,
                 const v1::SessionRequest& aRequest,
                 v1::SessionAnswer& aAnswer);
  void Complete(v1::StatusReply& aStatus) const;

  Member& mMember;
  FaultSwitches& mSwitches;
  BackendLimits mLimits;
  ConnectionCounter mConnections;
  StatementSlots mSlots;
  std::atomic<std::uint64_t> mStatementsRun{ 0 };
};

} // namespace papayaspindle::standin
