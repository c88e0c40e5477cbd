#include "transport/http2session.h"

#include "transport/http2session_p.h"
#include "transport/peermessage.h"

#include <array>
#include <utility>
#include <vector>

namespace papayaspindle {

namespace {

// Flow-control windows: one large message must not stop the others on its connection.
constexpr std::int32_t kStreamWindowBytes = 1024 * 1024;
constexpr std::int32_t kConnectionWindowBytes = 16 * 1024 * 1024;
constexpr std::uint32_t kMaxConcurrentStreams = 1024;

} // namespace

void
Http2Session::Private::SubmitSettings()
{
  const std::array settings{
    nghttp2_settings_entry{ NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, kStreamWindowBytes },
    nghttp2_settings_entry{ NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS,
                            mRole == Role::Server ? kMaxConcurrentStreams : 0 },
  };
  nghttp2_submit_settings(mSession, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
  nghttp2_session_set_local_window_size(
    mSession, NGHTTP2_FLAG_NONE, 0, kConnectionWindowBytes);
}

Http2Session::Http2Session(Role aRole, std::size_t aMaxMessageBytes, Http2Hooks aHooks)
  : mPrivate(std::make_unique<Private>())
{
  mPrivate->mRole = aRole;
  mPrivate->mMaxMessageBytes = aMaxMessageBytes;
  mPrivate->mHooks = std::move(aHooks);
  nghttp2_session_callbacks* callbacks = nullptr;
  nghttp2_session_callbacks_new(&callbacks);
  nghttp2_session_callbacks_set_on_begin_headers_callback(callbacks,
                                                          &Private::OnBeginHeaders);
  nghttp2_session_callbacks_set_on_header_callback(callbacks, &Private::OnHeader);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, &Private::OnData);
  nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, &Private::OnFrame);
  nghttp2_session_callbacks_set_before_frame_send_callback(callbacks,
                                                           &Private::BeforeSend);
  nghttp2_session_callbacks_set_on_stream_close_callback(callbacks,
                                                         &Private::OnStreamClose);
  nghttp2_option* options = nullptr;
  nghttp2_option_new(&options);
  nghttp2_option_set_no_closed_streams(options, 1);
  if (aRole == Role::Client) {
    nghttp2_session_client_new2(&mPrivate->mSession, callbacks, mPrivate.get(), options);
  } else {
    nghttp2_session_server_new2(&mPrivate->mSession, callbacks, mPrivate.get(), options);
  }
  nghttp2_option_del(options);
  nghttp2_session_callbacks_del(callbacks);
  mPrivate->SubmitSettings();
}

Http2Session::~Http2Session()
{
  nghttp2_session_del(mPrivate->mSession);
}

bool
Http2Session::Receive(std::string_view aBytes)
{
  const ssize_t taken =
    nghttp2_session_mem_recv(mPrivate->mSession,
                             reinterpret_cast<const std::uint8_t*>(aBytes.data()),
                             aBytes.size());
  return taken == static_cast<ssize_t>(aBytes.size());
}

bool
Http2Session::Produce(std::string& aOut, std::size_t aMaxBytes)
{
  while (aOut.size() < aMaxBytes) {
    const std::uint8_t* bytes = nullptr;
    const ssize_t count = nghttp2_session_mem_send(mPrivate->mSession, &bytes);
    if (count <= 0) {
      return count == 0;
    }
    aOut.append(Text(bytes, static_cast<std::size_t>(count)));
  }
  return true;
}

std::size_t
Http2Session::BufferedBytes() const
{
  // A body to send is kept as a whole until its last byte is taken.
  std::size_t bytes = 0;
  for (const auto& [id, stream] : mPrivate->mStreams) {
    bytes += stream.HeldBytes();
  }
  return bytes;
}

std::size_t
Http2Session::IncompleteBytes() const
{
  std::size_t bytes = 0;
  for (const auto& [id, stream] : mPrivate->mStreams) {
    bytes += stream.mComplete ? 0 : stream.HeldBytes();
  }
  return bytes;
}

std::size_t
Http2Session::RefuseLargestIncomplete()
{
  const Http2Stream* largest = nullptr;
  for (const auto& [id, stream] : mPrivate->mStreams) {
    if (!stream.mComplete &&
        (largest == nullptr || stream.HeldBytes() > largest->HeldBytes())) {
      largest = &stream;
    }
  }
  if (largest == nullptr) {
    return 0;
  }
  const std::size_t bytes = largest->HeldBytes();
  mPrivate->Refuse(largest->mId);
  return bytes;
}

std::size_t
Http2Session::RefuseIncompleteUpTo(std::int32_t aStream)
{
  std::vector<std::int32_t> refused;
  for (const auto& [id, stream] : mPrivate->mStreams) {
    if (id <= aStream && !stream.mComplete) {
      refused.push_back(id);
    }
  }
  for (const std::int32_t id : refused) {
    mPrivate->Refuse(id);
  }
  return refused.size();
}

std::int32_t
Http2Session::NewestRequest() const
{
  return nghttp2_session_get_last_proc_stream_id(mPrivate->mSession);
}

bool
Http2Session::IsFinished() const
{
  return nghttp2_session_want_read(mPrivate->mSession) == 0 &&
         nghttp2_session_want_write(mPrivate->mSession) == 0;
}

std::int32_t
Http2Session::SubmitRequest(std::string_view aMethod,
                            std::string aBody,
                            std::string_view aTraceparent)
{
  const std::int32_t id =
    static_cast<std::int32_t>(nghttp2_session_get_next_stream_id(mPrivate->mSession));
  if (id <= 0 || nghttp2_session_check_request_allowed(mPrivate->mSession) == 0) {
    return 0;
  }
  Http2Stream& stream = mPrivate->mStreams[id];
  stream.mId = id;
  stream.mMethod = aMethod;
  stream.mOutgoingCheck = BodyCheck(id, aMethod, aBody);
  stream.mOutgoing = std::move(aBody);
  const std::string path = std::string(kPeerPathPrefix).append(aMethod);
  std::array fields{ Field(":method", "POST"),
                     Field(":scheme", "http"),
                     // The protocol requires one; connections are made by address.
                     Field(":authority", "peer"),
                     Field(":path", path),
                     Field(kTraceparentHeader, aTraceparent, NGHTTP2_NV_FLAG_NO_INDEX) };
  const std::size_t count = aTraceparent.empty() ? fields.size() - 1 : fields.size();
  const nghttp2_data_provider provider = mPrivate->Provider(stream);
  const std::int32_t submitted = nghttp2_submit_request(
    mPrivate->mSession, nullptr, fields.data(), count, &provider, nullptr);
  if (submitted != id) {
    mPrivate->mStreams.erase(id);
    return 0;
  }
  return id;
}

void
Http2Session::CancelRequest(std::int32_t aStream)
{
  if (mPrivate->mStreams.erase(aStream) > 0) {
    nghttp2_submit_rst_stream(
      mPrivate->mSession, NGHTTP2_FLAG_NONE, aStream, NGHTTP2_CANCEL);
  }
}

void
Http2Session::SubmitReply(std::int32_t aStream, Result<std::string> aReply)
{
  Http2Stream* stream = mPrivate->Find(aStream);
  if (stream != nullptr) {
    mPrivate->Answer(*stream, std::move(aReply));
  }
}

void
Http2Session::SubmitPing()
{
  nghttp2_submit_ping(mPrivate->mSession, NGHTTP2_FLAG_NONE, nullptr);
}

void
Http2Session::SubmitGoaway()
{
  nghttp2_submit_goaway(mPrivate->mSession,
                        NGHTTP2_FLAG_NONE,
                        nghttp2_session_get_last_proc_stream_id(mPrivate->mSession),
                        NGHTTP2_NO_ERROR,
                        nullptr,
                        0);
}

} // namespace papayaspindle
