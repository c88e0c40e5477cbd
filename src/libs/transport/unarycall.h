#pragma once

#include "transport/callfailure.h"
#include "transport/channeltable.h"

#include <grpcpp/generic/generic_stub.h>
#include <grpcpp/grpcpp.h>
#include <grpcpp/impl/codegen/proto_utils.h>

#include <chrono>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace papayaspindle {

/** Waits for the next finished operation of a queue. @return whether it succeeded */
inline bool
WaitForOperation(grpc::CompletionQueue& aQueue)
{
  void* tag = nullptr;
  bool ok = false;
  return aQueue.Next(&tag, &ok) && ok;
}

/**
 * Sends one unary call in two steps: the message is written only once the call's header
 * was given to a connection, so that it is known whether the server may have run it.
 *
 * @param aContext with the call's deadline, at which every step ends
 * @param aSent set when the message may have reached the server
 */
template<typename Request, typename Reply>
grpc::Status
SendUnary(const std::shared_ptr<grpc::Channel>& aChannel,
          grpc::ClientContext& aContext,
          const std::string& aMethod,
          const Request& aRequest,
          Reply& aReply,
          bool& aSent)
{
  grpc::TemplatedGenericStub<Request, Reply> stub(aChannel);
  grpc::CompletionQueue queue;
  grpc::Status status;
  auto call = stub.PrepareCall(&aContext, aMethod, &queue);
  call->StartCall(&queue);
  aSent = WaitForOperation(queue);
  bool received = false;
  if (aSent) {
    call->WriteLast(aRequest, grpc::WriteOptions(), &queue);
    WaitForOperation(queue);
    call->Read(&aReply, &queue);
    received = WaitForOperation(queue);
  }
  call->Finish(&status, &queue);
  WaitForOperation(queue);
  if (status.ok() && !received) {
    return grpc::Status(grpc::StatusCode::INTERNAL, "the call ended without an answer");
  }
  return status;
}

/**
 * Runs one unary call and waits for its answer for at most the time limit. A channel on
 * which a call timed out is replaced, since its connection may have gone silent, and so
 * is one that could not connect.
 *
 * @param aAddress "ip:port"
 * @param aMethod "/package.Service/Method"
 * @param aNotSent kind of error for a call that the server certainly did not get
 * @param aSent kind of error for a call that may have been received
 */
template<typename Reply, typename Request>
Result<Reply>
CallUnary(ChannelTable& aChannels,
          std::string_view aAddress,
          std::chrono::milliseconds aTimeout,
          const char* aMethod,
          const Request& aRequest,
          ErrorKind aNotSent,
          ErrorKind aSent)
{
  const ChannelSettings& settings = aChannels.Settings();
  const auto channel = aChannels.Channel(aAddress);
  grpc::ClientContext context;
  context.set_deadline(std::chrono::system_clock::now() + aTimeout);
  context.set_wait_for_ready(false);
  context.AddMetadata(kFromMetadata, settings.mInstance);
  Reply reply;
  bool sent = false;
  const grpc::Status status = SendUnary(channel, context, aMethod, aRequest, reply, sent);
  if (status.ok()) {
    return reply;
  }
  // A channel that could not connect stays in its backoff, which would hide for seconds
  // that the host has come back; the callers' own intervals pace the attempts.
  if (status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED || !sent) {
    aChannels.Replace(aAddress, channel);
  }
  const CallFailure failure = ClassifyFailure(status, sent, settings.mMaxMessageBytes);
  return ErrorFor(failure, aAddress, aNotSent, aSent);
}

} // namespace papayaspindle
