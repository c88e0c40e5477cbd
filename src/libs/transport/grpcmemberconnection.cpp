#include "transport/grpcmemberconnection.h"

#include "transport/channeltable.h"
#include "transport/sessionstream.h"

#include <fmt/format.h>
#include <grpcpp/grpcpp.h>

namespace papayaspindle {

Result<std::unique_ptr<GrpcMemberConnection>>
GrpcMemberConnection::Open(ChannelTable& aChannels,
                           std::string_view aAddress,
                           TimePoint aDeadline)
{
  std::unique_ptr<GrpcMemberConnection> connection(
    new GrpcMemberConnection(aChannels, aAddress));
  const auto opening = connection->mStream->WaitUntilOpen(aDeadline);
  if (opening == SessionStream::Opening::TimedOut) {
    aChannels.Replace(aAddress, connection->mChannel);
  }
  if (opening != SessionStream::Opening::Ready) {
    return Error{ ErrorKind::MemberUnreachable,
                  fmt::format("no connection to {}", aAddress) };
  }
  return connection;
}

GrpcMemberConnection::GrpcMemberConnection(ChannelTable& aChannels,
                                           std::string_view aAddress)
  : mChannels(aChannels)
  , mAddress(aAddress)
  , mChannel(aChannels.Channel(aAddress))
  , mStream(std::make_unique<SessionStream>(mChannel,
                                            aChannels.Settings().mInstance,
                                            aChannels.Settings().mMaxMessageBytes))
{
}

GrpcMemberConnection::~GrpcMemberConnection() = default;

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
  Result<v1::SessionAnswer> answer = mStream->Run(aRequest, aDeadline);
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
  mStream->Cancel();
}

bool
GrpcMemberConnection::IsOpen() const
{
  return mStream->IsOpen();
}

} // namespace papayaspindle
