#include "transport/grpcmemberconnection.h"

#include "transport/channeltable.h"
#include "transport/sessionstream.h"

#include <fmt/format.h>
#include <grpcpp/grpcpp.h>

namespace papayaspindle {

namespace {

std::chrono::system_clock::time_point
SystemTime(TimePoint aDeadline)
{
  return std::chrono::system_clock::now() +
         std::chrono::duration_cast<std::chrono::system_clock::duration>(aDeadline -
                                                                         Clock::now());
}

/** @return the channel's state once it is ready or has failed, or at the deadline */
grpc_connectivity_state
WaitUntilConnected(grpc::Channel& aChannel, TimePoint aDeadline)
{
  grpc_connectivity_state state = aChannel.GetState(true);
  while (state == GRPC_CHANNEL_IDLE || state == GRPC_CHANNEL_CONNECTING) {
    if (!aChannel.WaitForStateChange(state, SystemTime(aDeadline))) {
      return state;
    }
    state = aChannel.GetState(true);
  }
  return state;
}

} // namespace

Result<std::unique_ptr<GrpcMemberConnection>>
GrpcMemberConnection::Open(ChannelTable& aChannels,
                           std::string_view aAddress,
                           TimePoint aDeadline)
{
  std::unique_ptr<GrpcMemberConnection> connection(
    new GrpcMemberConnection(aChannels, aAddress));
  const grpc_connectivity_state state =
    WaitUntilConnected(*connection->mChannel, aDeadline);
  if (state != GRPC_CHANNEL_READY) {
    if (state == GRPC_CHANNEL_CONNECTING) {
      aChannels.Replace(aAddress, connection->mChannel);
    }
    return Error{ ErrorKind::MemberUnreachable,
                  fmt::format("no connection to {}", aAddress) };
  }
  const ChannelSettings& settings = aChannels.Settings();
  connection->mStream = SessionStream::Start(
    connection->mChannel, settings.mInstance, settings.mMaxMessageBytes);
  return connection;
}

GrpcMemberConnection::GrpcMemberConnection(ChannelTable& aChannels,
                                           std::string_view aAddress)
  : mChannels(aChannels)
  , mAddress(aAddress)
  , mChannel(aChannels.Channel(aAddress))
{
}

GrpcMemberConnection::~GrpcMemberConnection()
{
  Close();
}

Result<v1::SessionAnswer>
GrpcMemberConnection::Run(v1::SessionRequest aRequest, TimePoint aDeadline)
{
  const std::uint64_t sequence = ++mSequence;
  aRequest.set_sequence(sequence);
  if (aRequest.ByteSizeLong() > mChannels.Settings().mMaxMessageBytes) {
    return Error{ ErrorKind::StatementTooLarge, "the request is over the message limit" };
  }
  if (Clock::now() >= aDeadline) {
    return Error{ ErrorKind::DeadlineBeforeStart, "nothing was sent" };
  }
  Result<v1::SessionAnswer> answer = mStream->Run(std::move(aRequest), aDeadline);
  if (!IsOk(answer)) {
    if (Clock::now() >= aDeadline) {
      mChannels.Replace(mAddress, mChannel);
    }
    return answer;
  }
  if (ValueOf(answer).sequence() != sequence) {
    Close();
    return Error{ ErrorKind::OutcomeUnknown, "the answer belongs to another request" };
  }
  return answer;
}

void
GrpcMemberConnection::Close()
{
  if (mStream) {
    mStream->Cancel();
  }
}

bool
GrpcMemberConnection::IsOpen() const
{
  return mStream && mStream->IsOpen();
}

} // namespace papayaspindle
