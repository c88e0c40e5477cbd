#pragma once

#include "backend.pb.h"
#include "core/error.h"
#include "core/timetypes.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace grpc {
class Channel;
}

namespace papayaspindle {

class ChannelTable;
class SessionStream;

/**
 * One connection to a backend server: one Backend.Session stream. Run has one caller at a
 * time; Close and IsOpen may be called by any thread.
 */
class GrpcMemberConnection
{
public:
  /**
   * Opens a connection; nothing is sent that the backend server would run.
   *
   * @param aChannels where the address's channel is kept; must outlive the connection
   * @param aAddress "ip:port" of the member
   * @return the connection, or MemberUnreachable
   */
  static Result<std::unique_ptr<GrpcMemberConnection>> Open(ChannelTable& aChannels,
                                                            std::string_view aAddress,
                                                            TimePoint aDeadline);
  /** Closes the connection. */
  ~GrpcMemberConnection();

  /**
   * Sends one request and waits for its answer. The request's sequence is filled in, the
   * answer's is checked.
   *
   * Errors: StatementTooLarge, DeadlineBeforeStart and MemberUnreachable when nothing was
   * sent; OutcomeUnknown when it was sent and no matching answer arrived in time;
   * AnswerTooLarge. After the last two the connection is closed.
   */
  Result<v1::SessionAnswer> Run(v1::SessionRequest aRequest, TimePoint aDeadline);
  /** Ends the stream; a request that runs ends with OutcomeUnknown. */
  void Close();
  /** @return whether a request can still be sent */
  [[nodiscard]] bool IsOpen() const;

private:
  GrpcMemberConnection(ChannelTable& aChannels, std::string_view aAddress);

  ChannelTable& mChannels;
  std::string mAddress;
  std::shared_ptr<grpc::Channel> mChannel;
  std::unique_ptr<SessionStream> mStream;
  std::uint64_t mSequence = 0;
};

} // namespace papayaspindle
