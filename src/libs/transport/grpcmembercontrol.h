#pragma once

#include "interfaces/membercontrol.h"
#include "transport/channeltable.h"

namespace papayaspindle {

/** Control calls to backend servers by gRPC. Thread-safe. */
class GrpcMemberControl : public MemberControl
{
public:
  explicit GrpcMemberControl(ChannelSettings aSettings);

  Result<v1::StatusReply> Status(std::string_view aAddress,
                                 std::chrono::milliseconds aTimeout) override;
  Result<v1::StatusReply> WaitForPosition(std::string_view aAddress,
                                          const LogPosition& aPosition,
                                          PositionReached aReached,
                                          std::chrono::milliseconds aTimeout) override;
  Result<v1::RaiseTermReply> RaiseTerm(std::string_view aAddress,
                                       const v1::RaiseTermRequest& aRequest,
                                       std::chrono::milliseconds aTimeout) override;
  Result<v1::PromoteReply> Promote(std::string_view aAddress,
                                   const v1::PromoteRequest& aRequest,
                                   std::chrono::milliseconds aTimeout) override;
  Result<v1::FollowReply> Follow(std::string_view aAddress,
                                 const v1::FollowRequest& aRequest,
                                 std::chrono::milliseconds aTimeout) override;
  Result<v1::FindRequestReply> FindRequest(std::string_view aAddress,
                                           const v1::FindRequestRequest& aRequest,
                                           std::chrono::milliseconds aTimeout) override;

  /** Closes the connection to an address that is no longer a member. */
  void Forget(std::string_view aAddress);

private:
  ChannelTable mChannels;
};

} // namespace papayaspindle
