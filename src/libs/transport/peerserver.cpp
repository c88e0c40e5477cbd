#include "transport/peerserver.h"

#include "runtime/workerpool.h"
#include "transport/http2session.h"
#include "transport/ioloop.h"
#include "transport/peerchannel.h"

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>

#include <condition_variable>
#include <cstdint>
#include <exception>
#include <functional>
#include <map>
#include <mutex>
#include <utility>

namespace papayaspindle {

namespace {

constexpr std::string_view kForwardMethod = "Forward";
// Pause after the process has run out of descriptors.
constexpr std::chrono::milliseconds kAcceptPause{ 100 };
// Time for a client to read the end of a connection that the server ends.
constexpr std::chrono::milliseconds kLinger{ 1'000 };
constexpr int kBacklog = 512;

using ConnectionKey = std::uint64_t;

/** One accepted connection. */
struct ServerConnection
{
  std::shared_ptr<PeerChannel> mChannel;
  /** The client's first HTTP/2 frame arrived. */
  bool mProven = false;
};

Result<std::string>
RunHandler(const PeerHandler& aHandler,
           const PeerRequest& aRequest,
           std::size_t aMaxMessageBytes)
{
  try {
    Result<std::string> reply = aHandler(aRequest);
    if (IsOk(reply) && ValueOf(reply).size() > aMaxMessageBytes) {
      return Error{ ErrorKind::AnswerTooLarge, "the answer is over the message limit" };
    }
    return reply;
  } catch (const std::exception& exception) {
    return Error{ ErrorKind::Internal, exception.what() };
  }
}

} // namespace

struct PeerServer::Private : std::enable_shared_from_this<PeerServer::Private>
{
  PeerServerSettings mSettings;
  WorkerPool* mForwards = nullptr;
  WorkerPool* mControl = nullptr;
  std::map<std::string, PeerHandler, std::less<>> mHandlers;
  PeerCounters mCounters;
  Poco::Net::ServerSocket mListener;
  std::string mAddress;

  // Of the loop's thread only.
  std::map<ConnectionKey, ServerConnection> mConnections;
  ConnectionKey mLastKey = 0;

  std::mutex mMutex;
  std::condition_variable mClosed;
  bool mListening = false;
  /** Stop was called and no connection is left. */
  bool mAllClosed = false;
  bool mStopping = false;

  IoLoop mLoop;

  void WatchListener();
  void Accept();
  void AddConnection(const Poco::Net::StreamSocket& aSocket);
  std::unique_ptr<Http2Session> MakeSession(ConnectionKey aKey);
  void HandleRequest(ConnectionKey aKey, std::int32_t aStream, PeerRequest aRequest);
  void Reply(ConnectionKey aKey, std::int32_t aStream, Result<std::string> aReply);
  void HandleClosed(ConnectionKey aKey);
  void CheckAlive(ConnectionKey aKey);
  void EndConnections();
  void CloseConnections();
  void StopListening();
  void NoteAllClosed();
};

void
PeerServer::Private::WatchListener()
{
  if (mListening) {
    mLoop.Watch(mListener, [this] { Accept(); });
  }
}

void
PeerServer::Private::Accept()
{
  try {
    AddConnection(mListener.acceptConnection());
  } catch (const Poco::Exception& exception) {
    if (exception.code() == EMFILE || exception.code() == ENFILE) {
      mLoop.Unwatch(mListener);
      mLoop.RunAt(Clock::now() + kAcceptPause, [this] { WatchListener(); });
    }
  }
}

void
PeerServer::Private::AddConnection(const Poco::Net::StreamSocket& aSocket)
{
  const ConnectionKey key = ++mLastKey;
  auto channel =
    std::make_shared<PeerChannel>(mLoop,
                                  PeerSocket::Accept(aSocket, mSettings.mTls),
                                  MakeSession(key),
                                  mCounters,
                                  [this, key](const ChannelEnd&) { HandleClosed(key); });
  channel->SetLinger(kLinger);
  mConnections[key].mChannel = channel;
  mLoop.RunAt(Clock::now() + mSettings.mHandshakeTimeout,
              [this, key] { CheckAlive(key); });
  channel->Start(false);
}

std::unique_ptr<Http2Session>
PeerServer::Private::MakeSession(ConnectionKey aKey)
{
  Http2Hooks hooks;
  hooks.mOnRequest = [this, aKey](std::int32_t aStream, PeerRequest aRequest) {
    HandleRequest(aKey, aStream, std::move(aRequest));
  };
  hooks.mOnSettings = [this, aKey] {
    if (const auto found = mConnections.find(aKey); found != mConnections.end()) {
      found->second.mProven = true;
    }
  };
  return std::make_unique<Http2Session>(
    Http2Session::Role::Server, mSettings.mMaxMessageBytes, std::move(hooks));
}

void
PeerServer::Private::HandleRequest(ConnectionKey aKey,
                                   std::int32_t aStream,
                                   PeerRequest aRequest)
{
  const auto connection = mConnections.find(aKey);
  if (connection == mConnections.end()) {
    return;
  }
  ++mCounters.mRequests;
  Http2Session& session = connection->second.mChannel->Session();
  const auto handler = mHandlers.find(aRequest.mMethod);
  if (handler == mHandlers.end()) {
    session.SubmitReply(
      aStream,
      Error{ ErrorKind::MalformedRequest, "there is no method " + aRequest.mMethod });
    return;
  }
  WorkerPool& pool = aRequest.mMethod == kForwardMethod ? *mForwards : *mControl;
  const bool accepted =
    pool.Submit([state = shared_from_this(),
                 aKey,
                 aStream,
                 call = &handler->second,
                 request = std::make_shared<PeerRequest>(std::move(aRequest))] {
      auto reply = std::make_shared<Result<std::string>>(
        RunHandler(*call, *request, state->mSettings.mMaxMessageBytes));
      state->mLoop.Post([raw = state.get(), aKey, aStream, reply] {
        raw->Reply(aKey, aStream, std::move(*reply));
      });
    });
  if (!accepted) {
    session.SubmitReply(
      aStream, Error{ ErrorKind::Overloaded, "the peer's request queue is full" });
  }
}

void
PeerServer::Private::Reply(ConnectionKey aKey,
                           std::int32_t aStream,
                           Result<std::string> aReply)
{
  const auto found = mConnections.find(aKey);
  if (found == mConnections.end()) {
    return;
  }
  const std::shared_ptr<PeerChannel> channel = found->second.mChannel;
  channel->Session().SubmitReply(aStream, std::move(aReply));
  channel->Flush();
}

void
PeerServer::Private::HandleClosed(ConnectionKey aKey)
{
  mConnections.erase(aKey);
  NoteAllClosed();
}

void
PeerServer::Private::CheckAlive(ConnectionKey aKey)
{
  const auto found = mConnections.find(aKey);
  if (found == mConnections.end()) {
    return;
  }
  const std::shared_ptr<PeerChannel> channel = found->second.mChannel;
  const TimePoint end = channel->LastReceived() + mSettings.mIdleTimeout;
  if (!found->second.mProven || Clock::now() >= end) {
    channel->Close({ "the client is silent", false });
    return;
  }
  mLoop.RunAt(end, [this, aKey] { CheckAlive(aKey); });
}

void
PeerServer::Private::StopListening()
{
  if (std::exchange(mListening, false)) {
    mLoop.Unwatch(mListener);
    mListener.close();
  }
}

void
PeerServer::Private::EndConnections()
{
  StopListening();
  const auto connections = mConnections;
  for (const auto& [key, connection] : connections) {
    connection.mChannel->Session().SubmitGoaway();
    connection.mChannel->Flush();
  }
  NoteAllClosed();
}

void
PeerServer::Private::CloseConnections()
{
  StopListening();
  const auto connections = mConnections;
  for (const auto& [key, connection] : connections) {
    connection.mChannel->Close({ "the server stops", false });
  }
}

void
PeerServer::Private::NoteAllClosed()
{
  const std::lock_guard lock(mMutex);
  if (mStopping && mConnections.empty()) {
    mAllClosed = true;
    mClosed.notify_all();
  }
}

PeerServer::PeerServer(PeerServerSettings aSettings,
                       WorkerPool& aForwards,
                       WorkerPool& aControl)
  : mPrivate(std::make_shared<Private>())
{
  mPrivate->mSettings = std::move(aSettings);
  mPrivate->mForwards = &aForwards;
  mPrivate->mControl = &aControl;
}

PeerServer::~PeerServer()
{
  mPrivate->mLoop.Post([state = mPrivate.get()] { state->CloseConnections(); });
  mPrivate->mLoop.Stop();
}

void
PeerServer::Register(std::string_view aMethod, PeerHandler aHandler)
{
  mPrivate->mHandlers.insert_or_assign(std::string(aMethod), std::move(aHandler));
}

Status
PeerServer::Start()
{
  Private& state = *mPrivate;
  try {
    const Poco::Net::SocketAddress address(state.mSettings.mListenAddress);
    state.mListener.bind(address, true);
    state.mListener.listen(kBacklog);
    state.mListener.setBlocking(false);
    state.mAddress = state.mListener.address().toString();
  } catch (const Poco::Exception& exception) {
    return Error{ ErrorKind::Internal,
                  "cannot listen on " + state.mSettings.mListenAddress + ": " +
                    exception.displayText() };
  }
  state.mLoop.Post([&state] {
    state.mListening = true;
    state.WatchListener();
  });
  return Done{};
}

std::string
PeerServer::Address() const
{
  return mPrivate->mAddress;
}

bool
PeerServer::Stop(std::chrono::milliseconds aGrace)
{
  Private& state = *mPrivate;
  std::unique_lock lock(state.mMutex);
  state.mStopping = true;
  lock.unlock();
  const bool posted = state.mLoop.Post([&state] { state.EndConnections(); });
  lock.lock();
  const bool finished =
    !posted || state.mClosed.wait_for(lock, aGrace, [&] { return state.mAllClosed; });
  lock.unlock();
  state.mLoop.Post([&state] { state.CloseConnections(); });
  state.mLoop.Stop();
  return finished;
}

PeerTraffic
PeerServer::Traffic() const
{
  return mPrivate->mCounters.Snapshot();
}

} // namespace papayaspindle
