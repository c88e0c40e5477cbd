#include "transport/peerchannel.h"

#include "transport/ioloop.h"

#include <Poco/Exception.h>

#include <array>
#include <span>
#include <utility>

namespace papayaspindle {

namespace {

// Bytes that may wait for the socket before the session is asked for no more.
constexpr std::size_t kMaxPendingBytes = std::size_t{ 256 } * 1024;
constexpr std::size_t kReadBytes = std::size_t{ 32 } * 1024;

using Kind = IoOutcome::Kind;

} // namespace

PeerChannel::PeerChannel(IoLoop& aLoop,
                         PeerSocket aSocket,
                         std::unique_ptr<Http2Session> aSession,
                         PeerCounters& aCounters,
                         ClosedHook aClosed)
  : mLoop(aLoop)
  , mSocket(std::move(aSocket))
  , mSession(std::move(aSession))
  , mCounters(aCounters)
  , mClosedHook(std::move(aClosed))
  , mLastReceived(Clock::now())
{
}

PeerChannel::~PeerChannel() = default;

void
PeerChannel::Start(bool aConnecting)
{
  ++mCounters.mConnections;
  ++mCounters.mConnectionsOpened;
  mConnecting = aConnecting;
  try {
    mLoop.Watch(mSocket.Socket(), [channel = weak_from_this()] {
      if (const auto self = channel.lock()) {
        self->HandleReady();
      }
    });
  } catch (const Poco::Exception& exception) {
    Close({ exception.displayText(), false });
    return;
  }
  if (mConnecting) {
    SetWatchWrite(true);
    return;
  }
  Flush();
}

void
PeerChannel::HandleReady()
{
  if (mConnecting && !FinishConnecting()) {
    return;
  }
  ReceiveAll();
  Flush();
}

bool
PeerChannel::FinishConnecting()
{
  const std::string error = mSocket.ConnectError();
  if (!error.empty()) {
    Close({ error, false });
    return false;
  }
  mConnecting = false;
  return true;
}

void
PeerChannel::ReceiveAll()
{
  std::array<char, kReadBytes> buffer;
  while (!mClosed) {
    const IoOutcome read = mLingering ? mSocket.Drain() : mSocket.Read(buffer);
    if (read.mKind == Kind::WantsRead) {
      return;
    }
    if (read.mKind == Kind::WantsWrite) {
      SetWatchWrite(true);
      return;
    }
    if (read.mKind != Kind::Progress) {
      HandleFailure(read);
      return;
    }
    mCounters.mBytesIn += read.mCount;
    mLastReceived = Clock::now();
    mInSession = true;
    const bool valid = mSession->Receive({ buffer.data(), read.mCount });
    mInSession = false;
    if (!valid) {
      Close({ "the peer broke the protocol", false });
    }
    // A short read has emptied the socket; only TLS can hold bytes back.
    if (read.mCount < buffer.size() && !mSocket.IsTls()) {
      return;
    }
  }
}

void
PeerChannel::Flush()
{
  if (mInSession || mConnecting || mLingering) {
    return;
  }
  // Hooks of the session may drop the last other reference.
  const auto self = shared_from_this();
  while (!mClosed) {
    mInSession = true;
    const bool valid = mSession->Produce(mOutgoing, kMaxPendingBytes);
    mInSession = false;
    if (!valid) {
      Close({ "the HTTP/2 session failed", false });
      return;
    }
    if (mOutgoing.empty()) {
      break;
    }
    if (!SendPending()) {
      return;
    }
  }
  if (mClosed) {
    return;
  }
  SetWatchWrite(false);
  if (mSession->IsFinished()) {
    End({ "the connection has ended", false });
  }
}

void
PeerChannel::HandleFailure(const IoOutcome& aOutcome)
{
  const ChannelEnd end{ aOutcome.mMessage, aOutcome.mUntrusted };
  if (aOutcome.mUntrusted) {
    // The alert that tells the client why must not be lost to a reset.
    End(end);
    return;
  }
  Close(end);
}

void
PeerChannel::End(const ChannelEnd& aEnd)
{
  if (mLinger.count() == 0) {
    Close(aEnd);
    return;
  }
  mLingering = true;
  SetWatchWrite(false);
  mSocket.EndSending();
  mLoop.RunAt(Clock::now() + mLinger, [channel = weak_from_this(), aEnd] {
    if (const auto self = channel.lock()) {
      self->Close(aEnd);
    }
  });
}

bool
PeerChannel::SendPending()
{
  std::size_t sent = 0;
  while (sent < mOutgoing.size()) {
    const IoOutcome write = mSocket.Write(std::string_view(mOutgoing).substr(sent));
    if (write.mKind == Kind::Progress) {
      sent += write.mCount;
      mCounters.mBytesOut += write.mCount;
      continue;
    }
    mOutgoing.erase(0, sent);
    if (write.mKind == Kind::Ended || write.mKind == Kind::Failed) {
      HandleFailure(write);
      return false;
    }
    SetWatchWrite(write.mKind == Kind::WantsWrite);
    return false;
  }
  mOutgoing.clear();
  return true;
}

void
PeerChannel::SetWatchWrite(bool aEnable)
{
  if (std::exchange(mWatchesWrite, aEnable) != aEnable) {
    mLoop.WatchWrite(mSocket.Socket(), aEnable);
  }
}

void
PeerChannel::Close(const ChannelEnd& aEnd)
{
  if (std::exchange(mClosed, true)) {
    return;
  }
  --mCounters.mConnections;
  mLoop.Unwatch(mSocket.Socket());
  mSocket.Close();
  const auto self = weak_from_this().lock();
  mClosedHook(aEnd);
}

} // namespace papayaspindle
