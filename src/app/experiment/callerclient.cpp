#include "experiment/callerclient.h"

#include <grpcpp/create_channel.h>
#include <grpcpp/security/credentials.h>

namespace papayaspindle::experiment {

namespace {

constexpr std::size_t kConnectionsPerInstance = 4;
constexpr std::chrono::milliseconds kAnswerMargin{ 500 };
constexpr int kMinReconnectMs = 100;
constexpr int kMaxReconnectMs = 500;

std::shared_ptr<grpc::Channel>
Connect(const std::string& aAddress)
{
  grpc::ChannelArguments arguments;
  // A transparent retry could run a write twice.
  arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
  arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
  arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, kMinReconnectMs);
  arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, kMaxReconnectMs);
  return grpc::CreateCustomChannel(
    "ipv4:" + aAddress, grpc::InsecureChannelCredentials(), arguments);
}

template<typename Request>
void
SetDeadline(grpc::ClientContext& aContext, const Request& aRequest)
{
  // The instance answers at the deadline; its answer needs a moment to arrive.
  const std::chrono::milliseconds timeout(aRequest.timeout_ms());
  aContext.set_deadline(std::chrono::system_clock::now() + timeout + kAnswerMargin);
}

template<typename Reply>
Reply
ReplyOrError(const grpc::Status& aStatus, Reply aReply)
{
  if (!aStatus.ok()) {
    aReply.Clear();
    aReply.mutable_error()->set_kind("call_failed");
    aReply.mutable_error()->set_message(aStatus.error_message());
    aReply.mutable_error()->set_execution(v1::EXECUTION_UNKNOWN);
    aReply.mutable_error()->set_retry(v1::RETRY_ADVICE_LOOK_UP_OUTCOME);
  }
  return aReply;
}

} // namespace

CallerClient::CallerClient(const std::vector<std::string>& aAddresses)
{
  for (const std::string& address : aAddresses) {
    auto& stubs = mStubs.emplace_back();
    for (std::size_t i = 0; i < kConnectionsPerInstance; ++i) {
      stubs.push_back(v1::Caller::NewStub(Connect(address)));
    }
  }
}

v1::Caller::Stub&
CallerClient::StubFor(std::size_t aInstance, std::size_t aSession) const
{
  return *mStubs[aInstance][aSession % kConnectionsPerInstance];
}

v1::ExecuteReply
CallerClient::Execute(std::size_t aInstance,
                      std::size_t aSession,
                      const v1::ExecuteRequest& aRequest)
{
  grpc::ClientContext context;
  SetDeadline(context, aRequest);
  v1::ExecuteReply reply;
  const grpc::Status status =
    StubFor(aInstance, aSession).Execute(&context, aRequest, &reply);
  return ReplyOrError(status, std::move(reply));
}

v1::OutcomeReply
CallerClient::Outcome(std::size_t aInstance,
                      std::size_t aSession,
                      const v1::OutcomeRequest& aRequest)
{
  grpc::ClientContext context;
  SetDeadline(context, aRequest);
  v1::OutcomeReply reply;
  const grpc::Status status =
    StubFor(aInstance, aSession).Outcome(&context, aRequest, &reply);
  return ReplyOrError(status, std::move(reply));
}

} // namespace papayaspindle::experiment
