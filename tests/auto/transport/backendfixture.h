#pragma once

#include "backend.grpc.pb.h"
#include "platform.grpc.pb.h"

#include <Poco/Net/ServerSocket.h>
#include <grpcpp/grpcpp.h>

#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <utility>

namespace papayaspindle::test {

/** What the server does with one message of a session stream; false ends the stream. */
using SessionScript =
  std::function<bool(const v1::SessionRequest&,
                     grpc::ServerReaderWriter<v1::SessionAnswer, v1::SessionRequest>&)>;

class ScriptedBackend : public v1::Backend::Service
{
public:
  std::function<grpc::Status(grpc::ServerContext&, v1::StatusReply&)> mStatus;
  SessionScript mSession;

  grpc::Status Status(grpc::ServerContext* aContext,
                      const v1::StatusRequest* /*aRequest*/,
                      v1::StatusReply* aReply) override
  {
    return mStatus(*aContext, *aReply);
  }

  grpc::Status WaitForPosition(grpc::ServerContext* /*aContext*/,
                               const v1::WaitForPositionRequest* aRequest,
                               v1::StatusReply* aReply) override
  {
    auto* reached =
      aRequest->received() ? aReply->mutable_last() : aReply->mutable_applied();
    *reached = aRequest->position();
    aReply->set_primary_silence_ms(aRequest->timeout_ms());
    return grpc::Status::OK;
  }

  grpc::Status Session(
    grpc::ServerContext* /*aContext*/,
    grpc::ServerReaderWriter<v1::SessionAnswer, v1::SessionRequest>* aStream) override
  {
    v1::SessionRequest request;
    while (aStream->Read(&request) && mSession(request, *aStream)) {
    }
    return grpc::Status::OK;
  }
};

class ScriptedTable : public v1::TableService::Service
{
public:
  std::function<grpc::Status(grpc::ServerContext&)> mAnswer;

  grpc::Status Transact(grpc::ServerContext* aContext,
                        const v1::TransactRequest* /*aRequest*/,
                        v1::TransactReply* aReply) override
  {
    aReply->set_committed(true);
    return mAnswer(*aContext);
  }

  grpc::Status Read(grpc::ServerContext* aContext,
                    const v1::TableReadRequest* /*aRequest*/,
                    v1::TableReadReply* /*aReply*/) override
  {
    return mAnswer(*aContext);
  }
};

/** An object store whose answers a test decides. */
class ScriptedObjects : public v1::ObjectStore::Service
{
public:
  grpc::Status mAnswer;

  grpc::Status PutObject(grpc::ServerContext* /*aContext*/,
                         const v1::PutObjectRequest* aRequest,
                         v1::PutObjectReply* /*aReply*/) override
  {
    mContent = aRequest->content();
    return mAnswer;
  }

  grpc::Status FetchObject(grpc::ServerContext* /*aContext*/,
                           const v1::FetchObjectRequest* /*aRequest*/,
                           v1::FetchObjectReply* aReply) override
  {
    aReply->set_content(mContent);
    return mAnswer;
  }

private:
  std::string mContent;
};

/** The services on a free port of the loopback address. */
class GrpcFixture
{
public:
  ScriptedBackend mBackend;
  ScriptedTable mTable;
  ScriptedObjects mObjects;

  explicit GrpcFixture(const std::shared_ptr<grpc::ServerCredentials>& aCredentials =
                         grpc::InsecureServerCredentials())
  {
    int port = 0;
    grpc::ServerBuilder builder;
    builder.AddListeningPort("127.0.0.1:0", aCredentials, &port);
    builder.RegisterService(&mBackend);
    builder.RegisterService(&mTable);
    builder.RegisterService(&mObjects);
    mServer = builder.BuildAndStart();
    mAddress = "127.0.0.1:" + std::to_string(port);
  }
  ~GrpcFixture() { Stop(); }

  void Stop() { mServer->Shutdown(std::chrono::system_clock::now()); }
  [[nodiscard]] const std::string& Address() const { return mAddress; }

private:
  std::unique_ptr<grpc::Server> mServer;
  std::string mAddress;
};

/** Holds a handler until the client gives up, so that the answer never arrives. */
inline grpc::Status
WaitForCancel(grpc::ServerContext& aContext)
{
  while (!aContext.IsCancelled()) {
    std::this_thread::yield();
  }
  return grpc::Status::CANCELLED;
}

/** @return an address of the loopback interface on which nothing listens */
inline std::string
ClosedAddress()
{
  Poco::Net::ServerSocket socket;
  socket.bind(Poco::Net::SocketAddress("127.0.0.1", 0), true);
  return socket.address().toString();
}

} // namespace papayaspindle::test
