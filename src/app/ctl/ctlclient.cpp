#include "ctl/ctlclient.h"

#include "ctl/ctlflags.h"
#include "observe/randomid.h"
#include "observe/tracecontext.h"

#include <fmt/format.h>

#include <fstream>
#include <iterator>

namespace papayaspindle {

namespace {

constexpr std::chrono::milliseconds kAnswerMargin{ 500 };

std::string
FileText(const std::string& aPath)
{
  std::ifstream file(aPath);
  return { std::istreambuf_iterator<char>(file), {} };
}

std::shared_ptr<grpc::ChannelCredentials>
Credentials()
{
  if (FLAGS_tls_authority.empty()) {
    return grpc::InsecureChannelCredentials();
  }
  return grpc::SslCredentials(
    { FileText(FLAGS_tls_authority),
      FLAGS_tls_key.empty() ? "" : FileText(FLAGS_tls_key),
      FLAGS_tls_certificate.empty() ? "" : FileText(FLAGS_tls_certificate) });
}

} // namespace

CtlClient::CtlClient()
{
  grpc::ChannelArguments arguments;
  // A transparent retry could run a write twice.
  arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
  arguments.SetMaxReceiveMessageSize(-1);
  const auto channel =
    grpc::CreateCustomChannel("ipv4:" + FLAGS_address, Credentials(), arguments);
  mOperator = v1::Operator::NewStub(channel);
  mCaller = v1::Caller::NewStub(channel);
}

void
CtlClient::Prepare(grpc::ClientContext& aContext)
{
  constexpr std::size_t kTraceIdBytes = 16;
  constexpr std::size_t kSpanIdBytes = 8;
  const std::chrono::milliseconds timeout(FLAGS_timeout_ms);
  // The instance answers at the deadline; its answer needs a moment to arrive.
  aContext.set_deadline(std::chrono::system_clock::now() + timeout + kAnswerMargin);
  aContext.AddMetadata(
    "traceparent",
    FormatTraceparent({ RandomHexId(kTraceIdBytes), RandomHexId(kSpanIdBytes) }));
}

int
CtlClient::Fail(const grpc::Status& aStatus)
{
  v1::ErrorInfo error;
  error.set_kind("call_failed");
  error.set_message(fmt::format("{}: gRPC status {} {}",
                                FLAGS_address,
                                static_cast<int>(aStatus.error_code()),
                                aStatus.error_message()));
  error.set_execution(v1::EXECUTION_UNKNOWN);
  error.set_retry(v1::RETRY_ADVICE_LOOK_UP_OUTCOME);
  PrintError(error);
  return kExitRefused;
}

bool
CtlClient::Json()
{
  return FLAGS_json;
}

} // namespace papayaspindle
