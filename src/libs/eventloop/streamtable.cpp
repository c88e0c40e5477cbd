#include "eventloop/streamtable.h"

#include "eventloop/stream.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocketImpl.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <exception>

namespace papayaspindle {

namespace {

constexpr std::size_t kReceiveBufferBytes = 16384;
// Limit for all peers together of a table without an account; a small part of the
// smallest machine's memory.
constexpr std::size_t kMaxQueuedBytesTotal = 48U << 20U;
// Buffers above this size are released when they are less than a quarter full.
constexpr std::size_t kRetainedBufferBytes = 65536;
constexpr int kListenBacklog = 512;
constexpr int kMaxUnansweredProbes = 3;
constexpr int kMaxAcceptsPerEvent = 32;

int
CeilToSeconds(Duration aDuration)
{
  return static_cast<int>(std::max<std::int64_t>(
    std::chrono::ceil<std::chrono::seconds>(aDuration).count(), 1));
}

void
SetSocketOptions(Poco::Net::StreamSocket& aSocket, const StreamLiveness& aLiveness)
{
  aSocket.setBlocking(false);
  aSocket.setNoDelay(true);
  aSocket.setKeepAlive(true);
  aSocket.setOption(IPPROTO_TCP, TCP_KEEPIDLE, CeilToSeconds(aLiveness.mProbeAfter));
  aSocket.setOption(IPPROTO_TCP, TCP_KEEPINTVL, CeilToSeconds(aLiveness.mProbeInterval));
  aSocket.setOption(IPPROTO_TCP, TCP_KEEPCNT, kMaxUnansweredProbes);
  const auto unacknowledged =
    std::chrono::duration_cast<std::chrono::milliseconds>(aLiveness.mUnacknowledged);
  aSocket.setOption(
    IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(unacknowledged.count()));
}

void
ReleaseUnused(std::string& aBuffer)
{
  if (aBuffer.capacity() > kRetainedBufferBytes &&
      aBuffer.size() < aBuffer.capacity() / 4) {
    aBuffer.shrink_to_fit();
  }
}

} // namespace

StreamTable::StreamTable(EventLoop& aLoop, std::size_t aLimit)
  : mLoop(aLoop)
  , mLimit(aLimit)
{
  mOutputLimits.fill(kMaxQueuedBytes);
}

StreamTable::~StreamTable() = default;

void
StreamTable::Listen(const std::string& aAddress,
                    const StreamLiveness& aLiveness,
                    const StreamHooks& aHooks,
                    AcceptHook aAccepted)
{
  Poco::Net::ServerSocket socket;
  // SO_REUSEPORT stays off: a second process at this address must fail instead of taking
  // some of the clients.
  socket.bind(Poco::Net::SocketAddress(aAddress), true, false);
  socket.listen(kListenBacklog);
  socket.setBlocking(false);
  const std::size_t index = mListeners.size();
  mListeners.push_back({ socket, aLiveness, aHooks, std::move(aAccepted) });
  mLoop.AddDescriptor(socket.impl()->sockfd(), EPOLLIN, [this, index](std::uint32_t) {
    OnAcceptable(index);
  });
}

void
StreamTable::OnAcceptable(std::size_t aListener)
{
  Listener& listener = mListeners[aListener];
  for (int count = 0; count < kMaxAcceptsPerEvent; count++) {
    const int descriptor = accept4(
      listener.mSocket.impl()->sockfd(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (descriptor < 0) {
      // No descriptor is left or the client has disconnected. The next event retries.
      return;
    }
    // The socket takes ownership of its implementation.
    const Poco::Net::StreamSocket socket(new Poco::Net::StreamSocketImpl(descriptor));
    if (mStreams.size() >= mLimit) {
      // The socket is closed when its last reference is destroyed.
      continue;
    }
    const StreamKey key =
      RegisterStream(socket, listener.mLiveness, listener.mHooks, false);
    listener.mAccepted(key);
  }
}

StreamKey
StreamTable::Connect(const std::string& aAddress,
                     const StreamLiveness& aLiveness,
                     const StreamHooks& aHooks)
{
  Poco::Net::StreamSocket socket;
  try {
    socket.connectNB(Poco::Net::SocketAddress(aAddress));
    return RegisterStream(socket, aLiveness, aHooks, true);
  } catch (const Poco::Exception&) {
    const StreamKey key = mNextKey++;
    auto failed = std::make_unique<Stream>();
    failed->mHooks = aHooks;
    mStreams.emplace(key, std::move(failed));
    mStreamsToEnd.push_back(key);
    return key;
  }
}

StreamKey
StreamTable::RegisterStream(Poco::Net::StreamSocket aSocket,
                            const StreamLiveness& aLiveness,
                            const StreamHooks& aHooks,
                            bool aIsConnecting)
{
  SetSocketOptions(aSocket, aLiveness);
  const StreamKey key = mNextKey++;
  auto stream = std::make_unique<Stream>();
  stream->mSocket = aSocket;
  stream->mHooks = aHooks;
  stream->mIsConnecting = aIsConnecting;
  stream->mWaitsForWritable = aIsConnecting;
  mStreams.emplace(key, std::move(stream));
  mLoop.AddDescriptor(
    aSocket.impl()->sockfd(),
    aIsConnecting ? EPOLLOUT : EPOLLIN,
    [this, key](std::uint32_t aEvents) { OnReadyGuarded(key, aEvents); });
  return key;
}

void
StreamTable::OnReadyGuarded(StreamKey aKey, std::uint32_t aEvents)
{
  try {
    OnReady(aKey, aEvents);
  } catch (const std::exception&) {
    // The input may be only partly processed, so the stream is ended. Other streams are
    // not affected.
    mStreamsToEnd.push_back(aKey);
    throw;
  }
}

void
StreamTable::OnReady(StreamKey aKey, std::uint32_t aEvents)
{
  const auto found = mStreams.find(aKey);
  if (found == mStreams.end()) {
    return;
  }
  Stream& stream = *found->second;
  if (stream.mIsConnecting) {
    if (stream.mSocket.impl()->socketError() != 0 || (aEvents & EPOLLERR) != 0) {
      EndStream(aKey);
      return;
    }
    stream.mIsConnecting = false;
    stream.mWaitsForWritable = false;
    mLoop.SetEvents(stream.mSocket.impl()->sockfd(), EPOLLIN);
    if (stream.mHooks.mConnected) {
      stream.mHooks.mConnected(aKey);
    }
    return;
  }
  if ((aEvents & EPOLLOUT) != 0 && !stream.mIsQueuedForFlush) {
    stream.mIsQueuedForFlush = true;
    mStreamsToFlush.push_back(aKey);
  }
  if ((aEvents & (EPOLLIN | EPOLLHUP | EPOLLERR)) == 0) {
    return;
  }
  if (stream.mIsPaused) {
    // These events are reported until the stream is closed, also while it is paused.
    if ((aEvents & (EPOLLHUP | EPOLLERR)) != 0) {
      EndStream(aKey);
    }
    return;
  }
  if (!Receive(aKey, stream)) {
    EndStream(aKey);
  }
}

bool
StreamTable::Receive(StreamKey aKey, Stream& aStream)
{
  std::array<char, kReceiveBufferBytes> bytes;
  const ssize_t count =
    recv(aStream.mSocket.impl()->sockfd(), bytes.data(), bytes.size(), 0);
  if (count < 0) {
    return errno == EAGAIN || errno == EINTR;
  }
  if (count == 0) {
    return false;
  }
  if (aStream.mIsClosing) {
    return true;
  }
  aStream.mInput.append(bytes.data(), static_cast<std::size_t>(count));
  PassOnInput(aKey, aStream);
  return true;
}

void
StreamTable::PassOnInput(StreamKey aKey, Stream& aStream)
{
  if (aStream.mHooks.mInput) {
    // The hook may close the stream, but the stream object exists until the next Flush.
    aStream.mHooks.mInput(aKey, aStream.mInput);
  }
  if (aStream.mAreHooksDisabled) {
    aStream.mInput.clear();
  }
  ReleaseUnused(aStream.mInput);
  UpdateAccount(aKey, aStream);
}

void
StreamTable::ProcessInput(StreamKey aStream)
{
  const auto found = mStreams.find(aStream);
  if (found == mStreams.end() || found->second->mInput.empty() ||
      found->second->mIsClosing) {
    return;
  }
  try {
    PassOnInput(aStream, *found->second);
  } catch (const std::exception&) {
    mStreamsToEnd.push_back(aStream);
    throw;
  }
}

void
StreamTable::Write(StreamKey aStream, std::string_view aBytes)
{
  const auto found = mStreams.find(aStream);
  if (found == mStreams.end()) {
    return;
  }
  Stream& stream = *found->second;
  const bool isOverLimit =
    stream.mOutput.size() + aBytes.size() >
      mOutputLimits[static_cast<std::size_t>(stream.mHooks.mOutputUse)] ||
    (mAccount == nullptr && mQueuedBytes + aBytes.size() > kMaxQueuedBytesTotal);
  if (isOverLimit) {
    mStreamsToEnd.push_back(aStream);
    return;
  }
  stream.mOutput += aBytes;
  mQueuedBytes += aBytes.size();
  UpdateAccount(aStream, stream);
  if (!stream.mIsQueuedForFlush) {
    stream.mIsQueuedForFlush = true;
    mStreamsToFlush.push_back(aStream);
  }
}

void
StreamTable::Close(StreamKey aStream)
{
  const auto found = mStreams.find(aStream);
  if (found == mStreams.end()) {
    return;
  }
  mLoop.RemoveDescriptor(found->second->mSocket.impl()->sockfd());
  found->second->mIsClosing = true;
  found->second->mAreHooksDisabled = true;
  mStreamsToEnd.push_back(aStream);
}

void
StreamTable::CloseAfterFlush(StreamKey aStream)
{
  const auto found = mStreams.find(aStream);
  if (found == mStreams.end()) {
    return;
  }
  Stream& stream = *found->second;
  stream.mIsClosing = true;
  stream.mAreHooksDisabled = true;
  if (!stream.mIsQueuedForFlush) {
    stream.mIsQueuedForFlush = true;
    mStreamsToFlush.push_back(aStream);
  }
}

bool
StreamTable::SendQueued(StreamKey aKey, Stream& aStream)
{
  if (!aStream.mOutput.empty()) {
    const ssize_t count = send(aStream.mSocket.impl()->sockfd(),
                               aStream.mOutput.data(),
                               aStream.mOutput.size(),
                               MSG_NOSIGNAL);
    if (count < 0 && errno != EAGAIN && errno != EINTR) {
      return false;
    }
    const auto sent = static_cast<std::size_t>(std::max<ssize_t>(count, 0));
    aStream.mOutput.erase(0, sent);
    mQueuedBytes -= sent;
    aStream.mUnreadMark -= std::min(sent, aStream.mUnreadMark);
    if (sent > 0) {
      ReleaseUnused(aStream.mOutput);
      UpdateAccount(aKey, aStream);
      if (aStream.mHooks.mSent && !aStream.mAreHooksDisabled) {
        aStream.mHooks.mSent(aKey);
      }
    }
  }
  const bool waits = !aStream.mOutput.empty();
  if (waits != aStream.mWaitsForWritable) {
    aStream.mWaitsForWritable = waits;
    UpdateEvents(aStream);
  }
  return waits || !aStream.mIsClosing;
}

void
StreamTable::Flush()
{
  // The mEnded hooks may write to other streams.
  while (!mStreamsToFlush.empty() || !mStreamsToEnd.empty()) {
    const std::vector<StreamKey> dirty = std::move(mStreamsToFlush);
    mStreamsToFlush.clear();
    for (const StreamKey key : dirty) {
      const auto found = mStreams.find(key);
      if (found == mStreams.end()) {
        continue;
      }
      found->second->mIsQueuedForFlush = false;
      if (!found->second->mIsConnecting && !SendQueued(key, *found->second)) {
        mStreamsToEnd.push_back(key);
      }
    }
    const std::vector<StreamKey> failed = std::move(mStreamsToEnd);
    mStreamsToEnd.clear();
    for (const StreamKey key : failed) {
      EndStream(key);
    }
  }
}

void
StreamTable::EndStream(StreamKey aKey)
{
  const auto found = mStreams.find(aKey);
  if (found == mStreams.end()) {
    return;
  }
  const std::unique_ptr<Stream> stream = std::move(found->second);
  mStreams.erase(found);
  mQueuedBytes -= stream->mOutput.size();
  if (mAccount != nullptr) {
    mAccount->Remove(aKey);
  }
  mLoop.RemoveDescriptor(stream->mSocket.impl()->sockfd());
  stream->mSocket.close();
  if (stream->mHooks.mEnded && !stream->mAreHooksDisabled) {
    stream->mHooks.mEnded(aKey);
  }
}

} // namespace papayaspindle
