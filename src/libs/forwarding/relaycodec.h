#pragma once

#include "proxy/tables/relaymessages.h"

#include <optional>
#include <string>

namespace papayaspindle {

/** Peer method that requests rows of the store from a reader. */
inline constexpr const char* kRelayMethod = "Relay";

/** @return the request as a serialized RelayQuestion message */
std::string EncodeRelayRequest(const proxy::RelayRequest& aRequest);
/** @return the request, or nothing when the bytes are not a valid message */
std::optional<proxy::RelayRequest> DecodeRelayRequest(const std::string& aBytes);

/** @return the answer as a serialized RelayReply message */
std::string EncodeRelayAnswer(const proxy::RelayAnswer& aAnswer);
/** @return the answer, or nothing when the bytes are not a valid message */
std::optional<proxy::RelayAnswer> DecodeRelayAnswer(const std::string& aBytes);

} // namespace papayaspindle
