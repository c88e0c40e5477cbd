#include "localserver.h"
#include "standin/backendservice.h"
#include "standin/replicationpuller.h"

#include <catch2/catch.hpp>

#include <optional>

using namespace papayaspindle;
using namespace papayaspindle::standin;

namespace {

constexpr std::chrono::milliseconds kShortDeadline{ 50 };
/** Long enough for any machine; a test that reaches it has failed. */
constexpr std::chrono::seconds kPatience{ 20 };

struct Backend
{
  explicit Backend(const std::string& aName)
    : mMember(aName, "z")
    , mService(mMember, mSwitches, { 2, 1 })
    , mServer(mService, mSwitches)
    , mPuller(aName, mMember, mSwitches)
    , mStub(v1::Backend::NewStub(mServer.Channel()))
  {
    mSwitches.SetChangeHook([this](const v1::FaultSettings& aSettings) {
      mMember.SetReplicationLag(
        std::chrono::milliseconds(aSettings.replication_lag_ms()));
    });
  }

  void Promote(std::uint64_t aTerm)
  {
    v1::RaiseTermRequest raise;
    raise.set_term(aTerm);
    raise.set_keeper("k");
    REQUIRE(mMember.Raise(raise).granted());
    v1::PromoteRequest promote;
    promote.set_term(aTerm);
    promote.set_keeper("k");
    REQUIRE(mMember.Promote(promote).promoted());
  }

  void Follow(std::uint64_t aTerm, const std::string& aName, const Backend& aPrimary)
  {
    v1::FollowRequest follow;
    follow.set_term(aTerm);
    follow.mutable_primary()->set_member(aName);
    follow.mutable_primary()->set_address(aPrimary.mServer.Address());
    REQUIRE(mMember.Follow(follow).following());
  }

  v1::StatusReply WaitFor(std::uint64_t aTerm, std::uint64_t aIndex, bool aReceived)
  {
    grpc::ClientContext context;
    v1::WaitForPositionRequest request;
    request.mutable_position()->set_term(aTerm);
    request.mutable_position()->set_index(aIndex);
    request.set_received(aReceived);
    request.set_timeout_ms(std::chrono::milliseconds(kPatience).count());
    v1::StatusReply reply;
    REQUIRE(mStub->WaitForPosition(&context, request, &reply).ok());
    return reply;
  }

  FaultSwitches mSwitches;
  Member mMember;
  BackendService mService;
  LocalServer mServer;
  ReplicationPuller mPuller;
  std::unique_ptr<v1::Backend::Stub> mStub;
};

/** One connection. */
class Connection
{
public:
  explicit Connection(Backend& aBackend, bool aMayHang = false)
  {
    if (aMayHang) {
      mContext.set_deadline(std::chrono::system_clock::now() + kShortDeadline);
    }
    mStream = aBackend.mStub->Session(&mContext);
  }

  ~Connection()
  {
    mContext.TryCancel();
    mStream->Finish();
  }

  std::optional<v1::SessionAnswer> Run(v1::StatementKind aKind,
                                       const std::string& aStatement,
                                       const std::string& aId = {})
  {
    v1::SessionRequest request;
    request.set_sequence(1);
    request.set_kind(aKind);
    request.set_statement(aStatement);
    request.set_write(aStatement.starts_with("PUT"));
    request.set_request_id(aId);
    request.set_term(1);
    v1::SessionAnswer answer;
    if (!mStream->Write(request) || !mStream->Read(&answer)) {
      return std::nullopt;
    }
    return answer;
  }

private:
  grpc::ClientContext mContext;
  std::unique_ptr<grpc::ClientReaderWriter<v1::SessionRequest, v1::SessionAnswer>>
    mStream;
};

constexpr auto kExecute = v1::STATEMENT_KIND_EXECUTE;

} // namespace

// Guards against replicas that stay behind after a change of primary, and against an
// acknowledgement that waits for the lag.
TEST_CASE("a replica follows its primary and the next one", "[standin]")
{
  Backend first("a");
  Backend second("b");
  first.Promote(1);
  second.Follow(1, "a", first);
  Connection connection(first);
  REQUIRE(connection.Run(kExecute, "PUT k v", "id-1").has_value());
  CHECK(second.WaitFor(1, 2, false).applied().index() == 2);

  v1::FaultSettings lag;
  lag.set_replication_lag_ms(std::chrono::milliseconds(kPatience).count());
  second.mSwitches.Set(lag);
  REQUIRE(connection.Run(kExecute, "PUT k w", "id-2").has_value());
  const v1::StatusReply received = second.WaitFor(1, 3, true);
  CHECK(received.last().index() == 3);
  CHECK(received.applied().index() == 2);

  second.Promote(2);
  first.Follow(2, "b", second);
  SessionState session;
  v1::SessionRequest write;
  write.set_kind(kExecute);
  write.set_statement("PUT k x");
  write.set_write(true);
  write.set_term(2);
  REQUIRE(second.mMember.Run(session, write).error() == v1::MEMBER_ERROR_NONE);
  CHECK(first.WaitFor(2, 5, false).role() == v1::MEMBER_ROLE_REPLICA);
  // The open connection speaks of the old term.
  CHECK(connection.Run(kExecute, "PUT k y")->error() == v1::MEMBER_ERROR_WRONG_TERM);
}

// Guards against connections beyond the limit and places that are never given back.
TEST_CASE("connections beyond the limit are refused", "[standin]")
{
  Backend backend("a");
  backend.Promote(1);
  std::optional<Connection> one(std::in_place, backend);
  Connection two(backend);
  REQUIRE(one->Run(v1::STATEMENT_KIND_PING, "").has_value());
  REQUIRE(two.Run(v1::STATEMENT_KIND_PING, "").has_value());
  {
    Connection three(backend);
    CHECK(three.Run(kExecute, "PUT k v")->error() ==
          v1::MEMBER_ERROR_TOO_MANY_CONNECTIONS);
  }
  // The end of a connection rolls back, frees its place and is seen in the log's absence.
  REQUIRE(one->Run(v1::STATEMENT_KIND_BEGIN, "").has_value());
  REQUIRE(one->Run(kExecute, "PUT k v").has_value());
  one.reset();
  const TimePoint end = Clock::now() + kPatience;
  bool admitted = false;
  while (!admitted && Clock::now() < end) {
    Connection next(backend);
    admitted = next.Run(kExecute, "GET k")->error() == v1::MEMBER_ERROR_NONE;
  }
  CHECK(admitted);
  CHECK(backend.mMember.Status().last().index() == 1);
}

// Guards against switches that report a fault without causing it.
TEST_CASE("fault switches of a connection", "[standin]")
{
  Backend backend("a");
  backend.Promote(1);
  v1::FaultSettings settings;

  settings.set_garble_answers(true);
  backend.mSwitches.Set(settings);
  CHECK(Connection(backend).Run(kExecute, "GET k")->sequence() != 1);

  settings.Clear();
  settings.set_lose_answers(1);
  backend.mSwitches.Set(settings);
  CHECK_FALSE(Connection(backend, true).Run(kExecute, "PUT k v", "id").has_value());
  CHECK(Connection(backend).Run(kExecute, "PUT k v", "id")->repeated());

  Connection open(backend, true);
  REQUIRE(open.Run(v1::STATEMENT_KIND_PING, "").has_value());
  settings.Clear();
  settings.set_silent_connections(true);
  backend.mSwitches.Set(settings);
  CHECK_FALSE(open.Run(kExecute, "PUT k w").has_value());
  CHECK(Connection(backend).Run(kExecute, "GET k")->rows(0).columns(0) == "v");

  settings.Clear();
  settings.set_down(true);
  backend.mSwitches.Set(settings);
  CHECK_FALSE(Connection(backend).Run(v1::STATEMENT_KIND_PING, "").has_value());
}
