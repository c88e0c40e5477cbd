#include "transport/http2session_p.h"

#include "transport/peermessage.h"

#include <algorithm>
#include <utility>

namespace papayaspindle {

Http2Stream*
Http2Session::Private::Find(std::int32_t aStream)
{
  const auto found = mStreams.find(aStream);
  return found == mStreams.end() ? nullptr : &found->second;
}

ssize_t
Http2Session::Private::ReadBody(nghttp2_session* aSession,
                                std::int32_t aStream,
                                std::uint8_t* aBuffer,
                                std::size_t aLength,
                                std::uint32_t* aFlags,
                                nghttp2_data_source* /*aSource*/,
                                void* aUser)
{
  Http2Stream* stream = Of(aUser).Find(aStream);
  if (stream == nullptr) {
    return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
  }
  const std::size_t count = std::min(aLength, stream->mOutgoing.size() - stream->mTaken);
  stream->mOutgoing.copy(reinterpret_cast<char*>(aBuffer), count, stream->mTaken);
  stream->mTaken += count;
  if (stream->mTaken == stream->mOutgoing.size()) {
    *aFlags |= NGHTTP2_DATA_FLAG_EOF | NGHTTP2_DATA_FLAG_NO_END_STREAM;
    const nghttp2_nv trailer =
      Field(kBodyCheckHeader, stream->mOutgoingCheck, NGHTTP2_NV_FLAG_NO_INDEX);
    if (nghttp2_submit_trailer(aSession, aStream, &trailer, 1) != 0) {
      return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    }
    // The whole body was taken; the stream may stay open for long until its reply. The
    // assignment of an empty string would keep the buffer.
    std::string().swap(stream->mOutgoing);
    stream->mTaken = 0;
  }
  return static_cast<ssize_t>(count);
}

nghttp2_data_provider
Http2Session::Private::Provider(Http2Stream& aStream)
{
  nghttp2_data_provider provider{};
  provider.source.ptr = &aStream;
  provider.read_callback = &ReadBody;
  return provider;
}

int
Http2Session::Private::OnBeginHeaders(nghttp2_session* /*aSession*/,
                                      const nghttp2_frame* aFrame,
                                      void* aUser)
{
  if (aFrame->hd.type == NGHTTP2_HEADERS && aFrame->headers.cat == NGHTTP2_HCAT_REQUEST) {
    const std::int32_t id = aFrame->hd.stream_id;
    Of(aUser).mStreams[id].mId = id;
  }
  return 0;
}

int
Http2Session::Private::OnHeader(nghttp2_session* /*aSession*/,
                                const nghttp2_frame* aFrame,
                                const std::uint8_t* aName,
                                std::size_t aNameLength,
                                const std::uint8_t* aValue,
                                std::size_t aValueLength,
                                std::uint8_t /*aFlags*/,
                                void* aUser)
{
  if (Http2Stream* stream = Of(aUser).Find(aFrame->hd.stream_id)) {
    stream->SetField(Text(aName, aNameLength), Text(aValue, aValueLength));
  }
  return 0;
}

int
Http2Session::Private::OnData(nghttp2_session* /*aSession*/,
                              std::uint8_t /*aFlags*/,
                              std::int32_t aStream,
                              const std::uint8_t* aBytes,
                              std::size_t aLength,
                              void* aUser)
{
  Private& self = Of(aUser);
  Http2Stream* stream = self.Find(aStream);
  if (stream == nullptr || stream->mTooLarge) {
    return 0;
  }
  stream->Append(Text(aBytes, aLength), self.mMaxMessageBytes);
  if (stream->mTooLarge && self.mRole == Role::Client) {
    nghttp2_submit_rst_stream(self.mSession, NGHTTP2_FLAG_NONE, aStream, NGHTTP2_CANCEL);
  }
  return 0;
}

int
Http2Session::Private::OnFrame(nghttp2_session* /*aSession*/,
                               const nghttp2_frame* aFrame,
                               void* aUser)
{
  Private& self = Of(aUser);
  switch (aFrame->hd.type) {
    case NGHTTP2_DATA:
    case NGHTTP2_HEADERS:
      self.HandleMessageFrame(*aFrame);
      break;
    case NGHTTP2_SETTINGS:
      if ((aFrame->hd.flags & NGHTTP2_FLAG_ACK) == 0 && self.mHooks.mOnSettings) {
        self.mHooks.mOnSettings();
      }
      break;
    case NGHTTP2_GOAWAY:
      if (self.mHooks.mOnGoaway) {
        self.mHooks.mOnGoaway();
      }
      break;
    default:
      break;
  }
  return 0;
}

void
Http2Session::Private::HandleMessageFrame(const nghttp2_frame& aFrame)
{
  Http2Stream* stream = Find(aFrame.hd.stream_id);
  if (stream == nullptr || (aFrame.hd.flags & NGHTTP2_FLAG_END_STREAM) == 0) {
    return;
  }
  stream->mComplete = true;
  if (mRole == Role::Server) {
    HandleRequest(*stream);
  }
}

void
Http2Session::Private::HandleRequest(Http2Stream& aStream)
{
  Result<PeerRequest> request = aStream.TakeRequest();
  if (IsOk(request)) {
    mHooks.mOnRequest(aStream.mId, std::move(ValueOf(request)));
    return;
  }
  Answer(aStream, ErrorOf(request));
}

int
Http2Session::Private::BeforeSend(nghttp2_session* /*aSession*/,
                                  const nghttp2_frame* aFrame,
                                  void* aUser)
{
  Private& self = Of(aUser);
  if (aFrame->hd.type != NGHTTP2_HEADERS || aFrame->headers.cat != NGHTTP2_HCAT_REQUEST) {
    return 0;
  }
  Http2Stream* stream = self.Find(aFrame->hd.stream_id);
  if (stream == nullptr || !self.mHooks.mBeforeSend(stream->mId)) {
    return NGHTTP2_ERR_CANCEL;
  }
  stream->mWritten = true;
  return 0;
}

int
Http2Session::Private::OnStreamClose(nghttp2_session* /*aSession*/,
                                     std::int32_t aStream,
                                     std::uint32_t aErrorCode,
                                     void* aUser)
{
  Private& self = Of(aUser);
  auto node = self.mStreams.extract(aStream);
  if (!node.empty() && self.mRole == Role::Client && node.mapped().mWritten) {
    self.mHooks.mOnReply(aStream, node.mapped().TakeReply(aErrorCode));
  }
  if (!node.empty() && self.mRole == Role::Server && !node.mapped().mAnswered &&
      self.mHooks.mOnCancelled) {
    self.mHooks.mOnCancelled(aStream);
  }
  return 0;
}

void
Http2Session::Private::Refuse(std::int32_t aStream)
{
  mStreams.erase(aStream);
  nghttp2_submit_rst_stream(mSession, NGHTTP2_FLAG_NONE, aStream, NGHTTP2_REFUSED_STREAM);
}

void
Http2Session::Private::Answer(Http2Stream& aStream, Result<std::string> aReply)
{
  if (std::exchange(aStream.mAnswered, true)) {
    return;
  }
  const std::string_view status = IsOk(aReply) ? kStatusOk : kStatusError;
  aStream.mOutgoing =
    IsOk(aReply) ? std::move(ValueOf(aReply)) : EncodeError(ErrorOf(aReply));
  aStream.mOutgoingCheck =
    BodyCheck(aStream.mId, ReplyContext(status, aStream.mMethod), aStream.mOutgoing);
  const nghttp2_nv field = Field(":status", status);
  const nghttp2_data_provider provider = Provider(aStream);
  nghttp2_submit_response(mSession, aStream.mId, &field, 1, &provider);
}

} // namespace papayaspindle
