#include "services/callerservice.h"
#include "services/operatorservice.h"

#include "runtime/grouptable.h"

#include <catch2/catch.hpp>
#include <grpcpp/grpcpp.h>

#include <future>
#include <memory>
#include <mutex>

using namespace papayaspindle;

namespace {

constexpr const char* kTrace = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

class MockStatements : public Statements
{
public:
  v1::ExecuteReply Execute(const v1::ExecuteRequest& aRequest,
                           const std::string& aTraceparent) override
  {
    const std::lock_guard lock(mMutex);
    mLast = aRequest;
    mTraceparent = aTraceparent;
    mStarted.set_value();
    if (mHold) {
      mRelease.get_future().wait();
    }
    return mReply;
  }
  v1::BeginReply Begin(const v1::BeginRequest&, const std::string&) override
  {
    return {};
  }
  v1::ExecuteReply Commit(const v1::CommitRequest&, const std::string&) override
  {
    return mReply;
  }
  v1::RollbackReply Rollback(const v1::RollbackRequest&, const std::string&) override
  {
    return {};
  }
  v1::OutcomeReply Outcome(const v1::OutcomeRequest&, const std::string&) override
  {
    return {};
  }

  std::mutex mMutex;
  v1::ExecuteRequest mLast;
  std::string mTraceparent;
  v1::ExecuteReply mReply;
  bool mHold = false;
  std::promise<void> mStarted;
  std::promise<void> mRelease;
};

class MockConfiguration : public Configuration
{
public:
  v1::ChangeGroupReply Change(const v1::ChangeGroupRequest& aRequest,
                              bool aCreate) override
  {
    v1::ChangeGroupReply reply;
    reply.set_revision(aRequest.expected_revision() + (aCreate ? 100 : 1));
    return reply;
  }
  v1::PlanChangeReply Plan(const v1::ChangeGroupRequest&) override { return {}; }
  [[nodiscard]] std::uint64_t Revision() const override { return 42; }
};

class MockCluster
  : public Homes
  , public Instances
{
public:
  [[nodiscard]] std::vector<InstanceId> HomesOf(const GroupId&) const override
  {
    return { InstanceId("entry-2"), InstanceId("entry-1") };
  }
  [[nodiscard]] int OwnRank(const GroupId&) const override { return 1; }
  [[nodiscard]] InstanceInfo Self() const override
  {
    return { InstanceId("entry-1"), AvailabilityZone("zone-1") };
  }
  [[nodiscard]] std::vector<InstanceInfo> Live() const override { return All(); }
  [[nodiscard]] std::vector<InstanceInfo> All() const override
  {
    InstanceInfo peer{ InstanceId("entry-2"), AvailabilityZone("zone-2") };
    peer.mLiveness = Liveness::Suspect;
    return { Self(), peer };
  }
  [[nodiscard]] std::optional<InstanceInfo> Find(const InstanceId&) const override
  {
    return std::nullopt;
  }
  [[nodiscard]] bool MayActAsKeeper() const override { return true; }
};

/** Both services behind an in-process channel, with one worker and one queue place. */
class Fixture
{
public:
  Fixture()
  {
    grpc::ServerBuilder builder;
    builder.RegisterService(&mCallerService);
    builder.RegisterService(&mOperatorService);
    mServer = builder.BuildAndStart();
    const auto channel = mServer->InProcessChannel({});
    mCaller = v1::Caller::NewStub(channel);
    mOperator = v1::Operator::NewStub(channel);
  }
  ~Fixture() { mServer->Shutdown(); }

  v1::ExecuteReply Execute(const v1::ExecuteRequest& aRequest)
  {
    grpc::ClientContext context;
    context.AddMetadata("traceparent", kTrace);
    v1::ExecuteReply reply;
    REQUIRE(mCaller->Execute(&context, aRequest, &reply).ok());
    return reply;
  }

  MockStatements mStatements;
  MockConfiguration mConfiguration;
  MockCluster mCluster;
  GroupTable mGroups;
  MetricRegistry mMetrics;
  Tracer mTracer{ "entry-1", nullptr, &mMetrics };
  RequestGate mGate;
  WorkerPool mStatementPool{ "statements", 1, 1 };
  WorkerPool mControlPool{ "control", 1, 4 };
  CallerService mCallerService{ mStatements,
                                { mStatementPool, mGate, mTracer, "caller_call" },
                                { 16, std::chrono::milliseconds(5000) },
                                [] { return Clock::now(); } };
  OperatorService mOperatorService{
    { mConfiguration,
      mGroups,
      mCluster,
      mCluster,
      mMetrics,
      { [](const GroupId&, v1::ShowGroupReply& aReply) { aReply.set_queue_depth(9); } },
      { "instance.name=entry-1" } },
    { mControlPool, mGate, mTracer, "operator_call" }
  };
  std::unique_ptr<grpc::Server> mServer;
  std::unique_ptr<v1::Caller::Stub> mCaller;
  std::unique_ptr<v1::Operator::Stub> mOperator;
};

} // namespace

// Guards against a call that loses its trace or its deadline on the way to a worker.
TEST_CASE("a call reaches Statements with its trace and a deadline", "[app]")
{
  Fixture fixture;
  fixture.mStatements.mReply.set_affected(3);
  v1::ExecuteRequest request;
  request.set_statement("get a");
  CHECK(fixture.Execute(request).affected() == 3);
  const std::lock_guard lock(fixture.mStatements.mMutex);
  CHECK(fixture.mStatements.mTraceparent.substr(0, 35) ==
        std::string(kTrace).substr(0, 35));
  CHECK(fixture.mStatements.mTraceparent != kTrace);
  CHECK(fixture.mStatements.mLast.timeout_ms() > 0);
  CHECK(fixture.mStatements.mLast.timeout_ms() <= 5000);
}

TEST_CASE("a statement above the limit is refused before it waits", "[app]")
{
  Fixture fixture;
  v1::ExecuteRequest request;
  request.set_statement(std::string(17, 'x'));
  const v1::ExecuteReply reply = fixture.Execute(request);
  CHECK(reply.error().kind() == "statement_too_large");
  CHECK(reply.error().execution() == v1::EXECUTION_NOT_RUN);
}

// Guards against statements that starve control, and a full pool that blocks or lies.
TEST_CASE("a full statement pool answers overloaded while control works", "[app]")
{
  Fixture fixture;
  fixture.mStatements.mHold = true;
  auto running = std::async(std::launch::async, [&] { return fixture.Execute({}); });
  fixture.mStatements.mStarted.get_future().wait();
  REQUIRE(fixture.mStatementPool.Submit([] {}));
  const v1::ExecuteReply refused = fixture.Execute({});
  CHECK(refused.error().kind() == "overloaded");
  CHECK(refused.error().execution() == v1::EXECUTION_NOT_RUN);
  grpc::ClientContext context;
  v1::ListGroupsReply groups;
  CHECK(fixture.mOperator->ListGroups(&context, {}, &groups).ok());
  CHECK(groups.revision() == 42);
  fixture.mStatements.mRelease.set_value();
  CHECK_FALSE(running.get().has_error());
}

// Guards against a shutdown that cuts a request or an open transaction.
TEST_CASE("a drain refuses new work and waits for what is in flight", "[app]")
{
  Fixture fixture;
  fixture.mStatements.mHold = true;
  auto running = std::async(std::launch::async, [&] { return fixture.Execute({}); });
  fixture.mStatements.mStarted.get_future().wait();
  fixture.mGate.StartDrain();
  CHECK(fixture.Execute({}).error().kind() == "draining");
  CHECK(fixture.mGate.InFlight() == 1);
  CHECK_FALSE(fixture.mGate.WaitUntilIdle(Clock::now()));
  auto commit = std::async(std::launch::async, [&] {
    grpc::ClientContext context;
    v1::ExecuteReply reply;
    REQUIRE(fixture.mCaller->Commit(&context, {}, &reply).ok());
    return reply;
  });
  fixture.mStatements.mRelease.set_value();
  CHECK_FALSE(running.get().has_error());
  CHECK_FALSE(commit.get().has_error());
  CHECK(fixture.mGate.WaitUntilIdle(Clock::now() + std::chrono::minutes(1)));
}

TEST_CASE("operators see groups, instances and metrics", "[app]")
{
  Fixture fixture;
  {
    grpc::ClientContext context;
    v1::ShowGroupRequest request;
    request.set_group("missing");
    v1::ShowGroupReply reply;
    REQUIRE(fixture.mOperator->ShowGroup(&context, request, &reply).ok());
    CHECK(reply.error().kind() == "unknown_group");
  }
  GroupSettings settings;
  settings.mGroup = GroupId("pond-core-1");
  settings.mRevision = 5;
  REQUIRE(fixture.mGroups.OfferSettings(settings));
  {
    grpc::ClientContext context;
    v1::ShowGroupRequest request;
    request.set_group("pond-core-1");
    v1::ShowGroupReply reply;
    REQUIRE(fixture.mOperator->ShowGroup(&context, request, &reply).ok());
    CHECK(reply.keeper() == "entry-2");
    CHECK(reply.homes_size() == 2);
    CHECK(reply.queue_depth() == 9);
  }
  {
    grpc::ClientContext context;
    v1::ShowInstanceReply reply;
    REQUIRE(fixture.mOperator->ShowInstance(&context, {}, &reply).ok());
    CHECK(reply.instance() == "entry-1");
    REQUIRE(reply.peers_size() == 1);
    CHECK(reply.peers(0).state() == "suspect");
    CHECK(reply.effective_settings_size() == 1);
  }
  grpc::ClientContext context;
  v1::MetricsReply reply;
  REQUIRE(fixture.mOperator->Metrics(&context, {}, &reply).ok());
  REQUIRE(reply.metrics_size() == 1);
  CHECK(reply.metrics(0).name() == "span.operator_call");
}

TEST_CASE("a create and a change are told apart", "[app]")
{
  Fixture fixture;
  v1::ChangeGroupRequest request;
  request.set_expected_revision(7);
  v1::ChangeGroupReply reply;
  grpc::ClientContext create;
  REQUIRE(fixture.mOperator->CreateGroup(&create, request, &reply).ok());
  CHECK(reply.revision() == 107);
  grpc::ClientContext change;
  REQUIRE(fixture.mOperator->ChangeGroup(&change, request, &reply).ok());
  CHECK(reply.revision() == 8);
}
