#include "transport/peerlink.h"

#include "transport/http2session.h"
#include "transport/ioloop.h"
#include "transport/peerchannel.h"
#include "transport/pendingcall.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

#include <algorithm>
#include <utility>

namespace papayaspindle {

PeerLink::PeerLink(IoLoop& aLoop,
                   const PeerClientSettings& aSettings,
                   PeerCounters& aCounters,
                   std::string aAddress,
                   ClosedHook aClosed)
  : mLoop(aLoop)
  , mSettings(aSettings)
  , mCounters(aCounters)
  , mAddress(std::move(aAddress))
  , mClosedHook(std::move(aClosed))
  , mOpened(Clock::now())
  , mLastUsed(mOpened)
  , mPingAfter(aSettings.mSilenceBeforePing)
{
}

PeerLink::~PeerLink() = default;

void
PeerLink::Open()
{
  try {
    mChannel = MakeChannel();
    mChannel->Start(true);
  } catch (const Poco::Exception& exception) {
    HandleClosed({ exception.displayText(), false });
    return;
  }
  ScheduleCheck(mOpened + mSettings.mConnectTimeout);
}

std::shared_ptr<PeerChannel>
PeerLink::MakeChannel()
{
  Http2Hooks hooks;
  hooks.mOnSettings = [link = weak_from_this()] {
    if (const auto self = link.lock()) {
      self->HandleSettings();
    }
  };
  hooks.mOnGoaway = [link = weak_from_this()] {
    if (const auto self = link.lock()) {
      self->mRetiring = true;
    }
  };
  hooks.mBeforeSend = [link = weak_from_this()](std::int32_t aStream) {
    const auto self = link.lock();
    return self && self->HandleBeforeSend(aStream);
  };
  hooks.mOnReply = [link = weak_from_this()](std::int32_t aStream,
                                             Result<std::string> aReply) {
    const auto self = link.lock();
    if (const auto call = self ? self->TakeCall(aStream) : nullptr) {
      call->Finish(std::move(aReply));
    }
  };
  return std::make_shared<PeerChannel>(
    mLoop,
    PeerSocket::Connect(Poco::Net::SocketAddress(mAddress), mSettings.mTls),
    std::make_unique<Http2Session>(
      Http2Session::Role::Client, mSettings.mMaxMessageBytes, std::move(hooks)),
    mCounters,
    [link = weak_from_this()](const ChannelEnd& aEnd) {
      if (const auto self = link.lock()) {
        self->HandleClosed(aEnd);
      }
    });
}

bool
PeerLink::TakesCalls() const
{
  return !mClosed && !mRetiring && !mSuspect;
}

void
PeerLink::Start(const std::shared_ptr<PendingCall>& aCall)
{
  aCall->mLink = weak_from_this();
  mLastUsed = Clock::now();
  if (!mProven) {
    mQueue.push_back(aCall);
    return;
  }
  Submit(aCall);
  mChannel->Flush();
}

void
PeerLink::Submit(const std::shared_ptr<PendingCall>& aCall)
{
  if (aCall->IsAbandoned()) {
    return;
  }
  PeerCall& call = aCall->mCall;
  const std::int32_t stream = mChannel->Session().SubmitRequest(
    call.mMethod, std::move(call.mBody), call.mTraceparent);
  if (stream == 0) {
    mRetiring = true;
    aCall->Fail(ErrorKind::PeerUnreachable, "the connection takes no further requests");
    return;
  }
  const TimePoint now = Clock::now();
  if (mCalls.empty()) {
    mBusySince = now;
    mPingAfter = mSettings.mSilenceBeforePing;
  }
  mCalls.emplace(stream, aCall);
  aCall->mStream = stream;
  aCall->mSubmitted = now;
  mPingAfter = std::min(mPingAfter, call.mTimeout / 2);
  ScheduleCheck(now + mPingAfter);
}

void
PeerLink::HandleSettings()
{
  mProven = true;
  for (const auto& call : std::exchange(mQueue, {})) {
    Submit(call);
  }
}

bool
PeerLink::HandleBeforeSend(std::int32_t aStream)
{
  const auto found = mCalls.find(aStream);
  if (found == mCalls.end()) {
    return false;
  }
  if (!found->second->MarkSent()) {
    mCalls.erase(found);
    return false;
  }
  return true;
}

std::shared_ptr<PendingCall>
PeerLink::TakeCall(std::int32_t aStream)
{
  auto node = mCalls.extract(aStream);
  if (node.empty()) {
    return nullptr;
  }
  mLastUsed = Clock::now();
  if (mCalls.empty()) {
    ScheduleCheck(mRetiring ? mLastUsed : mLastUsed + mSettings.mIdleTimeout);
  }
  return std::move(node.mapped());
}

void
PeerLink::Abandon(PendingCall& aCall)
{
  if (mClosed || !mCalls.contains(aCall.mStream)) {
    return;
  }
  TakeCall(aCall.mStream);
  mChannel->Session().CancelRequest(aCall.mStream);
  if (mChannel->LastReceived() < aCall.mSubmitted) {
    mSuspect = true;
    Ping();
  }
  mChannel->Flush();
}

void
PeerLink::Retire()
{
  mRetiring = true;
  ScheduleCheck(Clock::now());
}

void
PeerLink::Ping()
{
  if (mPingSent) {
    return;
  }
  mPingSent = Clock::now();
  mChannel->Session().SubmitPing();
  mChannel->Flush();
  ScheduleCheck(*mPingSent + mSettings.mPingTimeout);
}

void
PeerLink::ScheduleCheck(TimePoint aTime)
{
  if (aTime >= mNextCheck) {
    return;
  }
  mNextCheck = aTime;
  mLoop.RunAt(aTime, [link = weak_from_this()] {
    if (const auto self = link.lock()) {
      self->Check();
    }
  });
}

void
PeerLink::Check()
{
  const TimePoint now = Clock::now();
  if (mClosed || now < mNextCheck) {
    return;
  }
  mNextCheck = TimePoint::max();
  if (!mProven) {
    if (now >= mOpened + mSettings.mConnectTimeout) {
      Close("no connection within the time limit");
      return;
    }
    ScheduleCheck(mOpened + mSettings.mConnectTimeout);
    return;
  }
  if (mPingSent && mChannel->LastReceived() >= *mPingSent) {
    mPingSent.reset();
    mSuspect = false;
  }
  if (mPingSent || !mCalls.empty()) {
    CheckSilence(now);
    return;
  }
  CheckIdle(now);
}

void
PeerLink::CheckSilence(TimePoint aNow)
{
  if (mPingSent) {
    if (aNow >= *mPingSent + mSettings.mPingTimeout) {
      Close("the connection has gone silent");
      return;
    }
    ScheduleCheck(*mPingSent + mSettings.mPingTimeout);
    return;
  }
  const TimePoint due = std::max(mChannel->LastReceived(), mBusySince) + mPingAfter;
  if (aNow >= due) {
    Ping();
    return;
  }
  ScheduleCheck(due);
}

void
PeerLink::CheckIdle(TimePoint aNow)
{
  if (mRetiring || aNow >= mLastUsed + mSettings.mIdleTimeout) {
    Close("the connection is no longer used");
    return;
  }
  ScheduleCheck(mLastUsed + mSettings.mIdleTimeout);
}

void
PeerLink::Close(const std::string& aMessage)
{
  mChannel->Close({ aMessage, false });
}

void
PeerLink::HandleClosed(const ChannelEnd& aEnd)
{
  if (std::exchange(mClosed, true)) {
    return;
  }
  const ErrorKind notSent =
    aEnd.mUntrusted ? ErrorKind::PeerNotTrusted : ErrorKind::PeerUnreachable;
  for (const auto& call : std::exchange(mQueue, {})) {
    call->Fail(notSent, aEnd.mMessage);
  }
  for (const auto& [stream, call] : std::exchange(mCalls, {})) {
    call->Fail(notSent, aEnd.mMessage);
  }
  mClosedHook(shared_from_this());
}

} // namespace papayaspindle
