#include "serve/memberconnections.h"

#include "transport/grpcmemberconnection.h"

#include <utility>

namespace papayaspindle {

namespace {

/** A session stream under the sequence numbers of its owner; the stream compares its own.
 */
class SessionConnection : public MemberConnection
{
public:
  explicit SessionConnection(std::unique_ptr<GrpcMemberConnection> aConnection)
    : mConnection(std::move(aConnection))
  {
  }

  Result<v1::SessionAnswer> Run(const v1::SessionRequest& aRequest,
                                TimePoint aDeadline) override
  {
    auto answer = mConnection->Run(aRequest, aDeadline);
    if (IsOk(answer)) {
      ValueOf(answer).set_sequence(aRequest.sequence());
    }
    return answer;
  }

  void Close() override { mConnection->Close(); }

private:
  std::unique_ptr<GrpcMemberConnection> mConnection;
};

} // namespace

OpenHook
OpenMemberConnections(ChannelTable& aChannels)
{
  return [&aChannels](
           const OpenRequest& aRequest) -> Result<std::unique_ptr<MemberConnection>> {
    auto opened =
      GrpcMemberConnection::Open(aChannels, aRequest.mAddress, aRequest.mDeadline);
    if (!IsOk(opened)) {
      return ErrorOf(opened);
    }
    return std::make_unique<SessionConnection>(std::move(ValueOf(opened)));
  };
}

} // namespace papayaspindle
