#pragma once

#include "transport/http2session.h"

#include "transport/http2stream.h"

#include <nghttp2/nghttp2.h>

#include <map>

namespace papayaspindle {

/** @return a header field that refers to the texts, which must outlive its use */
inline nghttp2_nv
Field(std::string_view aName, std::string_view aValue, std::uint8_t aFlags = 0)
{
  const auto bytes = [](std::string_view aText) {
    return reinterpret_cast<std::uint8_t*>(const_cast<char*>(aText.data()));
  };
  return nghttp2_nv{ bytes(aName), bytes(aValue), aName.size(), aValue.size(), aFlags };
}

/** @return the bytes as text */
inline std::string_view
Text(const std::uint8_t* aBytes, std::size_t aLength)
{
  return { reinterpret_cast<const char*>(aBytes), aLength };
}

/** State of a session and what nghttp2 calls back. */
struct Http2Session::Private
{
  Role mRole = Role::Client;
  std::size_t mMaxMessageBytes = 0;
  Http2Hooks mHooks;
  std::map<std::int32_t, Http2Stream> mStreams;
  nghttp2_session* mSession = nullptr;

  Http2Stream* Find(std::int32_t aStream);
  nghttp2_data_provider Provider(Http2Stream& aStream);
  void HandleRequest(Http2Stream& aStream);
  void Answer(Http2Stream& aStream, Result<std::string> aReply);
  void HandleMessageFrame(const nghttp2_frame& aFrame);
  /** Resets a request that is received in part; what still arrives of it is ignored. */
  void Refuse(std::int32_t aStream);
  void SubmitSettings();

  static Private& Of(void* aUser) { return *static_cast<Private*>(aUser); }
  static ssize_t ReadBody(nghttp2_session* aSession,
                          std::int32_t aStream,
                          std::uint8_t* aBuffer,
                          std::size_t aLength,
                          std::uint32_t* aFlags,
                          nghttp2_data_source* aSource,
                          void* aUser);
  static int OnBeginHeaders(nghttp2_session* aSession,
                            const nghttp2_frame* aFrame,
                            void* aUser);
  static int OnHeader(nghttp2_session* aSession,
                      const nghttp2_frame* aFrame,
                      const std::uint8_t* aName,
                      std::size_t aNameLength,
                      const std::uint8_t* aValue,
                      std::size_t aValueLength,
                      std::uint8_t aFlags,
                      void* aUser);
  static int OnData(nghttp2_session* aSession,
                    std::uint8_t aFlags,
                    std::int32_t aStream,
                    const std::uint8_t* aBytes,
                    std::size_t aLength,
                    void* aUser);
  static int OnFrame(nghttp2_session* aSession, const nghttp2_frame* aFrame, void* aUser);
  static int BeforeSend(nghttp2_session* aSession,
                        const nghttp2_frame* aFrame,
                        void* aUser);
  static int OnStreamClose(nghttp2_session* aSession,
                           std::int32_t aStream,
                           std::uint32_t aErrorCode,
                           void* aUser);
};

} // namespace papayaspindle
