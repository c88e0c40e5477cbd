#include "ctl/callercommands.h"

#include "ctl/ctlflags.h"
#include "ctl/sessiontokentext.h"
#include "observe/randomid.h"

#include <fmt/core.h>

#include <cstdint>

namespace papayaspindle {

namespace {

constexpr std::size_t kRequestIdBytes = 16;

/** Sets the fields that calls with a session share. @return exit status */
template<typename Request>
int
SetSession(Request& aRequest)
{
  const auto token = ParseSessionToken(FLAGS_session_token);
  if (!token) {
    PrintUsageError("--session_token: neither hexadecimal nor base64");
    return kExitUsage;
  }
  aRequest.set_session_token(*token);
  aRequest.set_timeout_ms(static_cast<std::uint64_t>(FLAGS_timeout_ms));
  return kExitDone;
}

/** The id is printed before the call, so that a lost answer can be looked up. */
std::string
ChooseRequestId()
{
  std::string id =
    FLAGS_request_id.empty() ? RandomHexId(kRequestIdBytes) : FLAGS_request_id;
  fmt::print(stderr, "request id {}\n", id);
  return id;
}

void
PrintToken(const std::string& aToken)
{
  if (!aToken.empty()) {
    fmt::print("session token {}\n", ToHex(aToken));
  }
}

void
PrintAnswer(const v1::ExecuteReply& aReply)
{
  for (const v1::Row& row : aReply.rows()) {
    std::string line;
    for (const std::string& column : row.columns()) {
      line += (line.empty() ? "" : "\t") + column;
    }
    fmt::print("row {}\n", line);
  }
  fmt::print("affected {} position {}{}\n",
             aReply.affected(),
             PositionText(aReply.position()),
             aReply.repeated() ? " repeated: this is the first outcome" : "");
  if (aReply.served_by_replica()) {
    fmt::print("served by a replica, data at most {} ms old\n", aReply.proven_age_ms());
  }
  for (const v1::Hop& hop : aReply.hops()) {
    fmt::print("hop {} {} {} {} us\n",
               hop.role(),
               hop.instance(),
               hop.availability_zone(),
               hop.duration_us());
  }
  PrintToken(aReply.session_token());
}

} // namespace

int
Execute(const CtlCall& aCall)
{
  v1::ExecuteRequest request;
  if (FLAGS_access != "read" && FLAGS_access != "write") {
    PrintUsageError("--access: allowed are read and write");
    return kExitUsage;
  }
  if (const int status = SetSession(request); status != kExitDone) {
    return status;
  }
  request.set_group(aCall.mWords[0]);
  request.set_statement(aCall.mWords[1]);
  const bool write = FLAGS_access == "write";
  request.set_access(write ? v1::ACCESS_MODE_WRITE : v1::ACCESS_MODE_READ);
  request.set_caller(FLAGS_caller);
  request.set_transaction_id(FLAGS_transaction);
  if (write && FLAGS_transaction.empty()) {
    request.set_request_id(ChooseRequestId());
  }
  request.set_max_staleness_ms(static_cast<std::uint64_t>(FLAGS_max_staleness_ms));
  request.set_staleness_rule(FLAGS_staleness_rule);
  return aCall.mClient.CallAndPrint<v1::ExecuteReply>(
    [&](grpc::ClientContext& aContext, v1::ExecuteReply& aReply) {
      return aCall.mClient.Caller().Execute(&aContext, request, &aReply);
    },
    &PrintAnswer);
}

int
Begin(const CtlCall& aCall)
{
  v1::BeginRequest request;
  if (const int status = SetSession(request); status != kExitDone) {
    return status;
  }
  request.set_group(aCall.mWords[0]);
  request.set_caller(FLAGS_caller);
  return aCall.mClient.CallAndPrint<v1::BeginReply>(
    [&](grpc::ClientContext& aContext, v1::BeginReply& aReply) {
      return aCall.mClient.Caller().Begin(&aContext, request, &aReply);
    },
    [](const v1::BeginReply& aReply) {
      fmt::print("transaction {}\n", aReply.transaction_id());
    });
}

int
CommitTransaction(const CtlCall& aCall)
{
  v1::CommitRequest request;
  if (const int status = SetSession(request); status != kExitDone) {
    return status;
  }
  request.set_transaction_id(aCall.mWords[0]);
  request.set_request_id(ChooseRequestId());
  return aCall.mClient.CallAndPrint<v1::ExecuteReply>(
    [&](grpc::ClientContext& aContext, v1::ExecuteReply& aReply) {
      return aCall.mClient.Caller().Commit(&aContext, request, &aReply);
    },
    &PrintAnswer);
}

int
Rollback(const CtlCall& aCall)
{
  v1::RollbackRequest request;
  request.set_transaction_id(aCall.mWords[0]);
  return aCall.mClient.CallAndPrint<v1::RollbackReply>(
    [&](grpc::ClientContext& aContext, v1::RollbackReply& aReply) {
      return aCall.mClient.Caller().Rollback(&aContext, request, &aReply);
    },
    [](const v1::RollbackReply&) { fmt::print("rolled back\n"); });
}

int
Outcome(const CtlCall& aCall)
{
  v1::OutcomeRequest request;
  if (const int status = SetSession(request); status != kExitDone) {
    return status;
  }
  request.set_group(aCall.mWords[0]);
  request.set_request_id(aCall.mWords[1]);
  return aCall.mClient.CallAndPrint<v1::OutcomeReply>(
    [&](grpc::ClientContext& aContext, v1::OutcomeReply& aReply) {
      return aCall.mClient.Caller().Outcome(&aContext, request, &aReply);
    },
    [](const v1::OutcomeReply& aReply) {
      fmt::print("{} affected {} position {}\n",
                 ExecutionText(aReply.execution()),
                 aReply.affected(),
                 PositionText(aReply.position()));
      PrintToken(aReply.session_token());
    });
}

} // namespace papayaspindle
