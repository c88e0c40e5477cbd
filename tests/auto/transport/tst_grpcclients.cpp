#include "transport/grpcinstancelisting.h"
#include "transport/grpcmemberconnection.h"
#include "transport/grpcmembercontrol.h"
#include "transport/grpcobjectstorage.h"
#include "transport/grpctablestore.h"

#include "transport/backendfixture.h"

#include <catch2/catch.hpp>

#include <atomic>

using namespace papayaspindle;
using namespace papayaspindle::test;
using namespace std::chrono_literals;

namespace {

constexpr auto kShort = 200ms;
constexpr auto kLong = 10s;

ChannelSettings
Settings()
{
  ChannelSettings settings;
  settings.mInstance = "entry-1";
  settings.mMaxMessageBytes = 4096;
  return settings;
}

/** How the server of a fault case behaves. */
enum class Fault
{
  Refuses,
  SilentHost,
  NeverAnswers,
  FailsAfterReceipt,
};

struct FaultCase
{
  Fault mFault;
  ErrorKind mControl;
  ErrorKind mTransact;
  ErrorKind mRead;
};

constexpr ErrorKind kUnreachable = ErrorKind::MemberUnreachable;
constexpr ErrorKind kUnknown = ErrorKind::OutcomeUnknown;
constexpr ErrorKind kStore = ErrorKind::StoreUnavailable;

grpc::Status
Misbehave(Fault aFault, grpc::ServerContext& aContext)
{
  if (aFault == Fault::NeverAnswers) {
    return WaitForCancel(aContext);
  }
  return grpc::Status(grpc::StatusCode::UNAVAILABLE, "failed to connect");
}

} // namespace

// Guards against "not run" after a request reached the server, and against the opposite.
TEST_CASE("errors say truthfully whether a call was sent", "[transport]")
{
  const auto fault =
    GENERATE(FaultCase{ Fault::Refuses, kUnreachable, kStore, kStore },
             FaultCase{ Fault::SilentHost, kUnreachable, kStore, kStore },
             FaultCase{ Fault::NeverAnswers, kUnknown, kUnknown, kStore },
             FaultCase{ Fault::FailsAfterReceipt, kUnknown, kUnknown, kStore });
  GrpcFixture server;
  server.mBackend.mStatus = [&](grpc::ServerContext& aContext, v1::StatusReply&) {
    return Misbehave(fault.mFault, aContext);
  };
  server.mTable.mAnswer = [&](grpc::ServerContext& aContext) {
    return Misbehave(fault.mFault, aContext);
  };
  // The kernel accepts connections to it, but no byte ever comes back.
  Poco::Net::ServerSocket silent(Poco::Net::SocketAddress("127.0.0.1", 0));
  std::string address = server.Address();
  if (fault.mFault == Fault::Refuses) {
    address = ClosedAddress();
  } else if (fault.mFault == Fault::SilentHost) {
    address = silent.address().toString();
  }
  CAPTURE(static_cast<int>(fault.mFault));

  GrpcMemberControl control(Settings());
  const auto status = control.Status(address, kShort);
  REQUIRE_FALSE(IsOk(status));
  CHECK(ErrorOf(status).mKind == fault.mControl);
  CHECK((ErrorOf(status).mMessage.rfind("refused", 0) == 0) ==
        (fault.mFault == Fault::Refuses));

  GrpcTableStore store(address, Settings());
  const auto transact = store.Transact(v1::TransactRequest(), kShort);
  REQUIRE_FALSE(IsOk(transact));
  CHECK(ErrorOf(transact).mKind == fault.mTransact);
  const auto read = store.Read(v1::TableReadRequest(), kShort);
  REQUIRE_FALSE(IsOk(read));
  CHECK(ErrorOf(read).mKind == fault.mRead);
}

// Guards against calls that stay on a connection that has gone silent.
TEST_CASE("a control call after a timeout uses a new connection", "[transport]")
{
  GrpcFixture server;
  std::string firstPeer;
  std::string secondPeer;
  std::string from;
  server.mBackend.mStatus = [&](grpc::ServerContext& aContext, v1::StatusReply&) {
    if (firstPeer.empty()) {
      firstPeer = aContext.peer();
      return WaitForCancel(aContext);
    }
    secondPeer = aContext.peer();
    const auto& metadata = aContext.client_metadata();
    const auto found = metadata.find("x-papayaspindle-from");
    if (found != metadata.end()) {
      from = std::string(found->second.data(), found->second.size());
    }
    return grpc::Status::OK;
  };
  GrpcMemberControl control(Settings());
  REQUIRE_FALSE(IsOk(control.Status(server.Address(), kShort)));
  REQUIRE(IsOk(control.Status(server.Address(), kLong)));
  CHECK(firstPeer != secondPeer);
  CHECK(from == "entry-1");
}

TEST_CASE("a lost answer ends a Transact as unknown and the next one works",
          "[transport]")
{
  GrpcFixture server;
  std::atomic<int> calls = 0;
  server.mTable.mAnswer = [&](grpc::ServerContext& aContext) {
    return ++calls == 1 ? WaitForCancel(aContext) : grpc::Status::OK;
  };
  GrpcTableStore store(server.Address(), Settings());
  const auto lost = store.Transact(v1::TransactRequest(), kShort);
  REQUIRE_FALSE(IsOk(lost));
  CHECK(ErrorOf(lost).mKind == kUnknown);
  const auto second = store.Transact(v1::TransactRequest(), kLong);
  REQUIRE(IsOk(second));
  CHECK(ValueOf(second).committed());
  CHECK(calls == 2);
}

namespace {

using SessionServer = grpc::ServerReaderWriter<v1::SessionAnswer, v1::SessionRequest>;

v1::SessionAnswer
AnswerTo(const v1::SessionRequest& aRequest)
{
  v1::SessionAnswer answer;
  answer.set_sequence(aRequest.sequence());
  answer.set_message(aRequest.statement());
  return answer;
}

/** Sends the answer that the request's statement asks for. */
bool
ScriptedAnswer(const v1::SessionRequest& aRequest, SessionServer& aStream)
{
  v1::SessionAnswer answer = AnswerTo(aRequest);
  if (aRequest.statement() == "crossed") {
    answer.set_sequence(aRequest.sequence() + 1);
  } else if (aRequest.statement() == "oversized") {
    answer.set_message(std::string(8192, 'x'));
  } else if (aRequest.statement() == "end") {
    return false;
  } else if (aRequest.statement() == "silent") {
    return true;
  }
  return aStream.Write(answer);
}

std::unique_ptr<GrpcMemberConnection>
OpenTo(ChannelTable& aChannels, const GrpcFixture& aServer)
{
  auto opened =
    GrpcMemberConnection::Open(aChannels, aServer.Address(), Clock::now() + kLong);
  REQUIRE(IsOk(opened));
  return std::move(ValueOf(opened));
}

v1::SessionRequest
Statement(const std::string& aText)
{
  v1::SessionRequest request;
  request.set_kind(v1::STATEMENT_KIND_EXECUTE);
  request.set_statement(aText);
  return request;
}

struct SessionCase
{
  const char* mStatement;
  ErrorKind mKind;
};

} // namespace

// Guards against an answer that is taken for another request's, or kept after a fault.
TEST_CASE("a faulty answer condemns a member connection", "[transport]")
{
  const auto fault = GENERATE(SessionCase{ "crossed", kUnknown },
                              SessionCase{ "oversized", ErrorKind::AnswerTooLarge },
                              SessionCase{ "end", kUnknown },
                              SessionCase{ "silent", kUnknown });
  CAPTURE(fault.mStatement);
  GrpcFixture server;
  server.mBackend.mSession = ScriptedAnswer;
  ChannelTable channels(Settings());
  const auto connection = OpenTo(channels, server);
  const auto good = connection->Run(Statement("one"), Clock::now() + kLong);
  REQUIRE(IsOk(good));
  CHECK(ValueOf(good).message() == "one");

  const bool silent = std::string(fault.mStatement) == "silent";
  const auto bad = connection->Run(Statement(fault.mStatement),
                                   Clock::now() + (silent ? kShort : kLong));
  REQUIRE_FALSE(IsOk(bad));
  CHECK(ErrorOf(bad).mKind == fault.mKind);
  CHECK_FALSE(connection->IsOpen());
  const auto after = connection->Run(Statement("two"), Clock::now() + kLong);
  REQUIRE_FALSE(IsOk(after));
  CHECK(ErrorOf(after).mKind == kUnreachable);
}

TEST_CASE("requests that cannot be sent are refused as not run", "[transport]")
{
  GrpcFixture server;
  std::atomic<int> received = 0;
  server.mBackend.mSession = [&](const v1::SessionRequest& aRequest,
                                 SessionServer& aStream) {
    ++received;
    return ScriptedAnswer(aRequest, aStream);
  };
  ChannelTable channels(Settings());
  const auto connection = OpenTo(channels, server);
  const auto large =
    connection->Run(Statement(std::string(8192, 'x')), Clock::now() + kLong);
  REQUIRE_FALSE(IsOk(large));
  CHECK(ErrorOf(large).mKind == ErrorKind::StatementTooLarge);
  const auto late = connection->Run(Statement("late"), Clock::now());
  REQUIRE_FALSE(IsOk(late));
  CHECK(ErrorOf(late).mKind == ErrorKind::DeadlineBeforeStart);
  REQUIRE(IsOk(connection->Run(Statement("ok"), Clock::now() + kLong)));
  CHECK(received == 1);
  connection->Close();
  CHECK_FALSE(connection->IsOpen());

  const auto refused =
    GrpcMemberConnection::Open(channels, ClosedAddress(), Clock::now() + kLong);
  REQUIRE_FALSE(IsOk(refused));
  CHECK(ErrorOf(refused).mKind == kUnreachable);
}

// Guards against OutcomeUnknown for writes after a primary's end: they were not sent.
TEST_CASE("an idle connection notices the end of its backend server", "[transport]")
{
  GrpcFixture server;
  server.mBackend.mSession = ScriptedAnswer;
  ChannelTable channels(Settings());
  const auto connection = OpenTo(channels, server);
  REQUIRE(IsOk(connection->Run(Statement("one"), Clock::now() + kLong)));
  server.Stop();
  const auto after = connection->Run(Statement("two"), Clock::now() + kLong);
  REQUIRE_FALSE(IsOk(after));
  CHECK(ErrorOf(after).mKind == kUnreachable);
  CHECK_FALSE(connection->IsOpen());
}

TEST_CASE("the object store's errors say what may have happened", "[transport]")
{
  GrpcFixture server;
  GrpcObjectStorage objects(server.Address(), Settings());
  v1::PutObjectRequest put;
  put.set_content("snapshot");
  REQUIRE(IsOk(objects.Put(put, kLong)));
  const auto fetched = objects.Fetch(v1::FetchObjectRequest(), kLong);
  REQUIRE(IsOk(fetched));
  CHECK(ValueOf(fetched).content() == "snapshot");

  server.mObjects.mAnswer = grpc::Status(grpc::StatusCode::INTERNAL, "outage");
  const auto unknown = objects.Put(put, kLong);
  REQUIRE_FALSE(IsOk(unknown));
  CHECK(ErrorOf(unknown).mKind == kUnknown);
  const auto unread = objects.Fetch(v1::FetchObjectRequest(), kLong);
  REQUIRE_FALSE(IsOk(unread));
  CHECK(ErrorOf(unread).mKind == kStore);
  // The server has no such service.
  const auto list = GrpcInstanceListing(server.Address(), Settings()).List(kLong);
  REQUIRE_FALSE(IsOk(list));
  CHECK(ErrorOf(list).mKind == kStore);
}

// Guards against an acknowledgement that waits until a lagging member has applied a write
// that its log holds already.
TEST_CASE("a wait names what the member must have reached", "[transport]")
{
  GrpcFixture server;
  GrpcMemberControl control(Settings());
  const LogPosition position{ 3, 7 };
  const auto received =
    control.WaitForPosition(server.Address(), position, PositionReached::Received, kLong);
  REQUIRE(IsOk(received));
  CHECK(ValueOf(received).last().index() == position.mIndex);
  CHECK_FALSE(ValueOf(received).has_applied());
  const auto applied =
    control.WaitForPosition(server.Address(), position, PositionReached::Applied, kLong);
  REQUIRE(IsOk(applied));
  CHECK(ValueOf(applied).applied().index() == position.mIndex);
}

// Guards against an answer that always arrives just after the call's deadline.
TEST_CASE("a member is asked to answer before the call's deadline", "[transport]")
{
  GrpcFixture server;
  GrpcMemberControl control(Settings());
  const auto reply = control.WaitForPosition(
    server.Address(), LogPosition{ 3, 7 }, PositionReached::Applied, kLong);
  REQUIRE(IsOk(reply));
  CHECK(ValueOf(reply).applied().index() == 7);
  const std::chrono::milliseconds asked(ValueOf(reply).primary_silence_ms());
  CHECK(asked > kLong / 2);
  CHECK(asked < kLong);
}
