#include "transport/grpcmembercontrol.h"

#include "convert/convert.h"
#include "transport/unarycall.h"

#include <algorithm>

namespace papayaspindle {

namespace {

// Longest time kept for the way back of WaitForPosition's answer.
constexpr std::chrono::milliseconds kMaxAnswerMargin{ 50 };

template<typename Reply, typename Request>
Result<Reply>
Call(ChannelTable& aChannels,
     std::string_view aAddress,
     std::chrono::milliseconds aTimeout,
     const char* aMethod,
     const Request& aRequest)
{
  return CallUnary<Reply>(aChannels,
                          aAddress,
                          aTimeout,
                          aMethod,
                          aRequest,
                          ErrorKind::MemberUnreachable,
                          ErrorKind::OutcomeUnknown);
}

} // namespace

GrpcMemberControl::GrpcMemberControl(ChannelSettings aSettings)
  : mChannels(std::move(aSettings))
{
}

Result<v1::StatusReply>
GrpcMemberControl::Status(std::string_view aAddress, std::chrono::milliseconds aTimeout)
{
  return Call<v1::StatusReply>(mChannels,
                               aAddress,
                               aTimeout,
                               "/papayaspindle.v1.Backend/Status",
                               v1::StatusRequest());
}

Result<v1::StatusReply>
GrpcMemberControl::WaitForPosition(std::string_view aAddress,
                                   const LogPosition& aPosition,
                                   PositionReached aReached,
                                   std::chrono::milliseconds aTimeout)
{
  const auto margin = std::min(aTimeout / 4, kMaxAnswerMargin);
  v1::WaitForPositionRequest request;
  *request.mutable_position() = ToMessage(aPosition);
  request.set_received(aReached == PositionReached::Received);
  request.set_timeout_ms(static_cast<std::uint64_t>((aTimeout - margin).count()));
  return Call<v1::StatusReply>(
    mChannels, aAddress, aTimeout, "/papayaspindle.v1.Backend/WaitForPosition", request);
}

Result<v1::RaiseTermReply>
GrpcMemberControl::RaiseTerm(std::string_view aAddress,
                             const v1::RaiseTermRequest& aRequest,
                             std::chrono::milliseconds aTimeout)
{
  return Call<v1::RaiseTermReply>(
    mChannels, aAddress, aTimeout, "/papayaspindle.v1.Backend/RaiseTerm", aRequest);
}

Result<v1::PromoteReply>
GrpcMemberControl::Promote(std::string_view aAddress,
                           const v1::PromoteRequest& aRequest,
                           std::chrono::milliseconds aTimeout)
{
  return Call<v1::PromoteReply>(
    mChannels, aAddress, aTimeout, "/papayaspindle.v1.Backend/Promote", aRequest);
}

Result<v1::FollowReply>
GrpcMemberControl::Follow(std::string_view aAddress,
                          const v1::FollowRequest& aRequest,
                          std::chrono::milliseconds aTimeout)
{
  return Call<v1::FollowReply>(
    mChannels, aAddress, aTimeout, "/papayaspindle.v1.Backend/Follow", aRequest);
}

Result<v1::FindRequestReply>
GrpcMemberControl::FindRequest(std::string_view aAddress,
                               const v1::FindRequestRequest& aRequest,
                               std::chrono::milliseconds aTimeout)
{
  return Call<v1::FindRequestReply>(
    mChannels, aAddress, aTimeout, "/papayaspindle.v1.Backend/FindRequest", aRequest);
}

void
GrpcMemberControl::Forget(std::string_view aAddress)
{
  mChannels.Forget(aAddress);
}

} // namespace papayaspindle
