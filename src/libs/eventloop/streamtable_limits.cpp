#include "eventloop/stream.h"
#include "eventloop/streamtable.h"

#include <sys/epoll.h>

namespace papayaspindle {

void
StreamTable::SetPaused(StreamKey aStream, bool aIsPaused)
{
  const auto found = mStreams.find(aStream);
  if (found != mStreams.end() && found->second->mIsPaused != aIsPaused) {
    found->second->mIsPaused = aIsPaused;
    UpdateEvents(*found->second);
  }
}

void
StreamTable::UpdateEvents(const Stream& aStream)
{
  if (aStream.mIsConnecting) {
    return;
  }
  const std::uint32_t input =
    aStream.mIsPaused ? 0U : static_cast<std::uint32_t>(EPOLLIN);
  const std::uint32_t output =
    aStream.mWaitsForWritable ? static_cast<std::uint32_t>(EPOLLOUT) : 0U;
  mLoop.SetEvents(aStream.mSocket.impl()->sockfd(), input | output);
}

void
StreamTable::SetHeldBytes(StreamKey aStream, std::size_t aBytes)
{
  const auto found = mStreams.find(aStream);
  if (found != mStreams.end()) {
    found->second->mHeldBytes = aBytes;
    UpdateAccount(aStream, *found->second);
  }
}

void
StreamTable::AddHeldBytes(StreamKey aStream, std::size_t aBytes)
{
  const auto found = mStreams.find(aStream);
  if (found != mStreams.end()) {
    found->second->mHeldBytes += aBytes;
    UpdateAccount(aStream, *found->second);
  }
}

std::size_t
StreamTable::QueuedOutput(StreamKey aStream) const
{
  const auto found = mStreams.find(aStream);
  return found == mStreams.end() ? 0 : found->second->mOutput.size();
}

std::vector<StreamKey>
StreamTable::StalledStreams(MemoryUse aUse, Duration aTimeout, TimePoint aNow)
{
  std::vector<StreamKey> stalled;
  for (const auto& [key, stream] : mStreams) {
    if (stream->mHooks.mOutputUse != aUse) {
      continue;
    }
    if (stream->mOutput.empty()) {
      stream->mUnreadSince.reset();
    } else if (!stream->mUnreadSince || stream->mUnreadMark == 0) {
      stream->mUnreadSince = aNow;
      stream->mUnreadMark = stream->mOutput.size();
    } else if (aNow - *stream->mUnreadSince > aTimeout) {
      stalled.push_back(key);
    }
  }
  return stalled;
}

void
StreamTable::UpdateAccount(StreamKey aKey, const Stream& aStream)
{
  if (mAccount == nullptr) {
    return;
  }
  const std::size_t input = aStream.mInput.size() + aStream.mHeldBytes;
  const std::size_t output = aStream.mOutput.size();
  if (aStream.mHooks.mInputUse == aStream.mHooks.mOutputUse) {
    mAccount->Set(aKey, aStream.mHooks.mInputUse, input + output);
    return;
  }
  mAccount->Set(aKey, aStream.mHooks.mInputUse, input);
  mAccount->Set(aKey, aStream.mHooks.mOutputUse, output);
}

} // namespace papayaspindle
