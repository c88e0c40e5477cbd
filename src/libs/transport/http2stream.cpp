#include "transport/http2stream.h"

#include "transport/peermessage.h"

#include <fmt/format.h>
#include <nghttp2/nghttp2.h>

#include <utility>

namespace papayaspindle {

namespace {

// State of a stream here and in nghttp2: 100,000 streams without a body occupied about
// 65 MB.
constexpr std::size_t kStreamOverheadBytes = 768;

} // namespace

std::size_t
Http2Stream::HeldBytes() const
{
  return kStreamOverheadBytes + mMethod.size() + mTraceparent.size() + mStatus.size() +
         mCheck.size() + mBody.size() + mOutgoing.size();
}

void
Http2Stream::SetField(std::string_view aName, std::string_view aValue)
{
  if (aName == ":path") {
    const bool isPeerPath = aValue.substr(0, kPeerPathPrefix.size()) == kPeerPathPrefix;
    mMethod = isPeerPath ? aValue.substr(kPeerPathPrefix.size()) : std::string_view();
  } else if (aName == ":status") {
    mStatus = aValue;
  } else if (aName == kBodyCheckHeader) {
    mCheck = aValue;
  } else if (aName == kTraceparentHeader) {
    mTraceparent = aValue;
  }
}

void
Http2Stream::Append(std::string_view aBytes, std::size_t aMaxBytes)
{
  if (mTooLarge || aBytes.size() > aMaxBytes - mBody.size()) {
    mTooLarge = true;
    std::string().swap(mBody);
    return;
  }
  mBody.append(aBytes);
}

Result<PeerRequest>
Http2Stream::TakeRequest()
{
  if (mTooLarge) {
    return Error{ ErrorKind::StatementTooLarge, "the request is over the message limit" };
  }
  if (mMethod.empty() || mCheck != BodyCheck(mId, mMethod, mBody)) {
    return Error{ ErrorKind::MalformedRequest, "the request arrived damaged" };
  }
  return PeerRequest{ mMethod, std::move(mBody), std::move(mTraceparent) };
}

Result<std::string>
Http2Stream::TakeReply(std::uint32_t aErrorCode)
{
  if (!mComplete && aErrorCode == NGHTTP2_REFUSED_STREAM) {
    // HTTP/2 guarantees that a refused stream was not processed.
    return Error{ ErrorKind::Draining, "the peer takes no further requests" };
  }
  if (mTooLarge && mStatus == kStatusOk) {
    return Error{ ErrorKind::AnswerTooLarge, "the answer is over the message limit" };
  }
  if (!mComplete) {
    return Error{ ErrorKind::OutcomeUnknown,
                  fmt::format("the answer was cut off (HTTP/2 error {})", aErrorCode) };
  }
  if (mTooLarge || mCheck != BodyCheck(mId, ReplyContext(mStatus, mMethod), mBody)) {
    return Error{ ErrorKind::OutcomeUnknown, "the answer arrived damaged" };
  }
  if (mStatus != kStatusOk) {
    return DecodeError(mBody);
  }
  return std::move(mBody);
}

} // namespace papayaspindle
