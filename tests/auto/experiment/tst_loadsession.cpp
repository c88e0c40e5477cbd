#include "experiment/loadsession.h"

#include "experiment/callerclient.h"
#include "experiment/gaptracker.h"
#include "experiment/registerhistory.h"
#include "experiment/tally.h"
#include "experiment/writeledger.h"
#include "observe/metricregistry.h"

#include <catch2/catch.hpp>

#include <mutex>

#include <grpcpp/security/server_credentials.h>
#include <grpcpp/server.h>
#include <grpcpp/server_builder.h>

using namespace papayaspindle;
using namespace papayaspindle::experiment;

namespace {

/** Answers calls from a script: "ack", "not_run", "unknown", "broken" for Execute; "ran",
 * "not_run", "unknown" for Outcome. */
class ScriptedCaller : public v1::Caller::Service
{
public:
  explicit ScriptedCaller(std::vector<std::string> aScript)
    : mScript(std::move(aScript))
  {
  }

  grpc::Status Execute(grpc::ServerContext* /*aContext*/,
                       const v1::ExecuteRequest* aRequest,
                       v1::ExecuteReply* aReply) override
  {
    const std::string word = Next("execute " + aRequest->request_id());
    if (word == "broken") {
      return { grpc::StatusCode::UNAVAILABLE, "connection lost" };
    }
    if (word == "ack") {
      aReply->mutable_position()->set_index(7);
      aReply->set_session_token("token");
      return grpc::Status::OK;
    }
    aReply->mutable_error()->set_kind(word);
    aReply->mutable_error()->set_execution(word == "not_run" ? v1::EXECUTION_NOT_RUN
                                                             : v1::EXECUTION_UNKNOWN);
    return grpc::Status::OK;
  }

  grpc::Status Outcome(grpc::ServerContext* /*aContext*/,
                       const v1::OutcomeRequest* aRequest,
                       v1::OutcomeReply* aReply) override
  {
    const std::string word = Next("outcome " + aRequest->request_id());
    aReply->mutable_position()->set_index(7);
    aReply->set_execution(word == "ran"       ? v1::EXECUTION_RAN
                          : word == "not_run" ? v1::EXECUTION_NOT_RUN
                                              : v1::EXECUTION_UNKNOWN);
    return grpc::Status::OK;
  }

  std::vector<std::string> Calls()
  {
    const std::lock_guard lock(mMutex);
    return mCalls;
  }

private:
  std::string Next(const std::string& aCall)
  {
    const std::lock_guard lock(mMutex);
    mCalls.push_back(aCall);
    return mCalls.size() <= mScript.size() ? mScript[mCalls.size() - 1] : "ack";
  }

  std::mutex mMutex;
  std::vector<std::string> mScript;
  std::vector<std::string> mCalls;
};

/** Plans one payment after the other. */
class PaymentMix : public WorkloadMix
{
public:
  Operation Next(std::mt19937_64& /*aRandom*/,
                 const OwnWrites& /*aOwn*/,
                 const std::string& aUnique) override
  {
    Operation payment;
    payment.mGroup = GroupId("g");
    payment.mWrite = true;
    payment.mRegister = aUnique;
    payment.mVersion = 1;
    return payment;
  }
};

} // namespace

// Guards against a caller that sends a write again before it knows that the write did not
// run: the experiment would then measure the callers' faults.
TEST_CASE("a write is looked up before it is sent again", "[experiment]")
{
  struct Case
  {
    std::vector<std::string> mScript;
    std::vector<std::string> mCalls;
  };
  const std::string execute = "execute run-0";
  const std::string outcome = "outcome run-0";
  const std::vector<Case> cases = {
    { { "ack" }, { execute } },
    { { "not_run", "ack" }, { execute, execute } },
    { { "unknown", "ran" }, { execute, outcome } },
    { { "broken", "unknown", "not_run", "ack" }, { execute, outcome, outcome, execute } },
  };
  for (const Case& one : cases) {
    CAPTURE(one.mScript);
    ScriptedCaller service(one.mScript);
    grpc::ServerBuilder builder;
    int port = 0;
    builder.AddListeningPort("127.0.0.1:0", grpc::InsecureServerCredentials(), &port);
    builder.RegisterService(&service);
    const auto server = builder.BuildAndStart();
    CallerClient client({ "127.0.0.1:" + std::to_string(port) });
    PaymentMix mix;
    RegisterHistory history;
    WriteLedger ledger;
    GapTracker gaps{ TimePoint() };
    Tally tally;
    MetricRegistry metrics;
    const std::chrono::seconds patience(20);
    LoadSession session({ client,
                          mix,
                          history,
                          ledger,
                          gaps,
                          tally,
                          metrics,
                          "run",
                          1,
                          patience,
                          patience,
                          0,
                          10 },
                        0);
    session.Serve({ 0, Clock::now() });
    CHECK(service.Calls() == one.mCalls);
    CHECK(tally.Values().mAcknowledgedWrites == 1);
    CHECK(history.AcknowledgedBy("run-0", Clock::now()) == 1);
  }
}
