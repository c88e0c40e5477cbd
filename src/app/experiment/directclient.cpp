#include "experiment/directclient.h"

#include "backend.grpc.pb.h"

#include <chrono>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include <grpcpp/create_channel.h>
#include <grpcpp/security/credentials.h>

namespace papayaspindle::experiment {

namespace {

constexpr std::chrono::seconds kCallTimeout{ 2 };

using Stream = grpc::ClientReaderWriter<v1::SessionRequest, v1::SessionAnswer>;

/** One open connection to a primary. */
struct Connection
{
  grpc::ClientContext mContext;
  std::unique_ptr<Stream> mStream;
  std::uint64_t mTerm = 0;
  std::uint64_t mSequence = 0;

  ~Connection()
  {
    mContext.TryCancel();
    if (mStream != nullptr) {
      mStream->Finish();
    }
  }
};

template<typename Reply>
Reply
FailedReply(std::string aMessage, v1::Execution aExecution)
{
  Reply reply;
  reply.mutable_error()->set_kind("call_failed");
  reply.mutable_error()->set_message(std::move(aMessage));
  reply.mutable_error()->set_execution(aExecution);
  reply.mutable_error()->set_retry(aExecution == v1::EXECUTION_NOT_RUN
                                     ? v1::RETRY_ADVICE_AFTER_BACKOFF
                                     : v1::RETRY_ADVICE_LOOK_UP_OUTCOME);
  return reply;
}

v1::ExecuteReply
ReplyOf(v1::SessionAnswer& aAnswer)
{
  if (aAnswer.error() != v1::MEMBER_ERROR_NONE) {
    const bool ran = aAnswer.error() == v1::MEMBER_ERROR_STATEMENT_FAILED;
    auto reply = FailedReply<v1::ExecuteReply>(
      aAnswer.message(), ran ? v1::EXECUTION_RAN : v1::EXECUTION_NOT_RUN);
    reply.mutable_error()->set_kind(v1::MemberError_Name(aAnswer.error()));
    return reply;
  }
  v1::ExecuteReply reply;
  reply.mutable_rows()->Swap(aAnswer.mutable_rows());
  reply.set_affected(aAnswer.affected());
  *reply.mutable_position() = aAnswer.position();
  reply.set_repeated(aAnswer.repeated());
  return reply;
}

} // namespace

struct DirectClient::Private
{
  using Key = std::pair<std::size_t, std::string>;

  /** One stub for each member, by group. */
  std::map<std::string, std::vector<std::unique_ptr<v1::Backend::Stub>>> mStubs;
  std::mutex mMutex;
  /** By session and group; a connection is used by its session only. */
  std::map<Key, std::shared_ptr<Connection>> mConnections;

  std::pair<v1::Backend::Stub*, std::uint64_t> FindPrimary(const std::string& aGroup);
  std::shared_ptr<Connection> ConnectionFor(const Key& aKey);
  void Drop(const Key& aKey);
};

std::pair<v1::Backend::Stub*, std::uint64_t>
DirectClient::Private::FindPrimary(const std::string& aGroup)
{
  std::pair<v1::Backend::Stub*, std::uint64_t> primary{ nullptr, 0 };
  for (const auto& stub : mStubs.at(aGroup)) {
    grpc::ClientContext context;
    context.set_deadline(std::chrono::system_clock::now() + kCallTimeout);
    v1::StatusReply status;
    if (stub->Status(&context, {}, &status).ok() &&
        status.role() == v1::MEMBER_ROLE_PRIMARY && status.term() > primary.second) {
      primary = { stub.get(), status.term() };
    }
  }
  return primary;
}

std::shared_ptr<Connection>
DirectClient::Private::ConnectionFor(const Key& aKey)
{
  {
    const std::lock_guard lock(mMutex);
    if (const auto found = mConnections.find(aKey); found != mConnections.end()) {
      return found->second;
    }
  }
  const auto [stub, term] = FindPrimary(aKey.second);
  if (stub == nullptr) {
    return nullptr;
  }
  auto connection = std::make_shared<Connection>();
  connection->mTerm = term;
  connection->mStream = stub->Session(&connection->mContext);
  const std::lock_guard lock(mMutex);
  return mConnections[aKey] = std::move(connection);
}

void
DirectClient::Private::Drop(const Key& aKey)
{
  std::shared_ptr<Connection> dropped;
  const std::lock_guard lock(mMutex);
  dropped.swap(mConnections[aKey]);
  mConnections.erase(aKey);
}

DirectClient::DirectClient(const MemberAddresses& aMembers)
  : mPrivate(std::make_unique<Private>())
{
  for (const auto& [group, addresses] : aMembers) {
    for (const std::string& address : addresses) {
      mPrivate->mStubs[group.Text()].push_back(v1::Backend::NewStub(
        grpc::CreateChannel("ipv4:" + address, grpc::InsecureChannelCredentials())));
    }
  }
}

DirectClient::~DirectClient() = default;

v1::ExecuteReply
DirectClient::Execute(std::size_t /*aInstance*/,
                      std::size_t aSession,
                      const v1::ExecuteRequest& aRequest)
{
  const Private::Key key{ aSession, aRequest.group() };
  const auto connection = mPrivate->ConnectionFor(key);
  if (connection == nullptr) {
    return FailedReply<v1::ExecuteReply>("no primary", v1::EXECUTION_NOT_RUN);
  }
  v1::SessionRequest request;
  request.set_sequence(++connection->mSequence);
  request.set_kind(v1::STATEMENT_KIND_EXECUTE);
  request.set_statement(aRequest.statement());
  request.set_write(aRequest.access() == v1::ACCESS_MODE_WRITE);
  request.set_request_id(aRequest.request_id());
  request.set_term(connection->mTerm);
  v1::SessionAnswer answer;
  if (!connection->mStream->Write(request) || !connection->mStream->Read(&answer) ||
      answer.sequence() != request.sequence()) {
    mPrivate->Drop(key);
    return FailedReply<v1::ExecuteReply>("connection lost", v1::EXECUTION_UNKNOWN);
  }
  if (answer.error() != v1::MEMBER_ERROR_NONE &&
      answer.error() != v1::MEMBER_ERROR_STATEMENT_FAILED) {
    mPrivate->Drop(key);
  }
  return ReplyOf(answer);
}

v1::OutcomeReply
DirectClient::Outcome(std::size_t /*aInstance*/,
                      std::size_t /*aSession*/,
                      const v1::OutcomeRequest& aRequest)
{
  const auto [stub, term] = mPrivate->FindPrimary(aRequest.group());
  if (stub == nullptr) {
    return FailedReply<v1::OutcomeReply>("no primary", v1::EXECUTION_UNKNOWN);
  }
  grpc::ClientContext context;
  context.set_deadline(std::chrono::system_clock::now() + kCallTimeout);
  v1::FindRequestRequest request;
  request.set_request_id(aRequest.request_id());
  request.set_term(term);
  v1::FindRequestReply found;
  if (!stub->FindRequest(&context, request, &found).ok()) {
    return FailedReply<v1::OutcomeReply>("call failed", v1::EXECUTION_UNKNOWN);
  }
  v1::OutcomeReply reply;
  // The first send may still be under way, so a request that is not there proves nothing.
  reply.set_execution(found.found() ? v1::EXECUTION_RAN : v1::EXECUTION_UNKNOWN);
  reply.set_affected(found.affected());
  *reply.mutable_position() = found.position();
  return reply;
}

} // namespace papayaspindle::experiment
