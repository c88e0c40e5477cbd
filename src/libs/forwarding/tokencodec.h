#pragma once

#include "decision/allowance/rateledger.h"

#include <optional>
#include <string>

namespace papayaspindle {

/** Peer method that requests tokens of a customer's rate limit from a limiter. */
inline constexpr const char* kTokensMethod = "Tokens";

/** @return the request as a serialized TokensRequest message */
std::string EncodeTokenRequest(const TokenRequest& aRequest);
/** @return the request, or nothing when the bytes are not a valid message */
std::optional<TokenRequest> DecodeTokenRequest(const std::string& aBytes);

/** @return the grant as a serialized TokensReply message */
std::string EncodeTokenGrant(const TokenGrant& aGrant);
/** @return the grant, or nothing when the bytes are not a valid message */
std::optional<TokenGrant> DecodeTokenGrant(const std::string& aBytes);

} // namespace papayaspindle
