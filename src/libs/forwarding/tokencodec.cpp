#include "forwarding/tokencodec.h"

#include "forward.pb.h"
#include "forwarding/microseconds.h"

#include <chrono>

namespace papayaspindle {

namespace {

// More tokens than an instance ever needs at once; a larger number is a foreign message.
constexpr std::uint32_t kMaxTokens = 100'000;

} // namespace

std::string
EncodeTokenRequest(const TokenRequest& aRequest)
{
  v1::TokensRequest message;
  message.set_customer(aRequest.mCustomer);
  message.set_count(aRequest.mCount);
  return message.SerializeAsString();
}

std::optional<TokenRequest>
DecodeTokenRequest(const std::string& aBytes)
{
  v1::TokensRequest message;
  if (!message.ParseFromString(aBytes) || message.customer().empty() ||
      message.count() > kMaxTokens) {
    return std::nullopt;
  }
  return TokenRequest{ message.customer(), message.count() };
}

std::string
EncodeTokenGrant(const TokenGrant& aGrant)
{
  v1::TokensReply message;
  message.set_granted(aGrant.mGranted);
  message.set_wait_us(
    ToMicroseconds(std::chrono::ceil<std::chrono::microseconds>(aGrant.mWait)));
  return message.SerializeAsString();
}

std::optional<TokenGrant>
DecodeTokenGrant(const std::string& aBytes)
{
  v1::TokensReply message;
  if (!message.ParseFromString(aBytes) || message.granted() > kMaxTokens) {
    return std::nullopt;
  }
  return TokenGrant{ message.granted(),
                     FromMicroseconds(message.wait_us(), kMaxReceivedWait) };
}

} // namespace papayaspindle
