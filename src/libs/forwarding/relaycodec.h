#pragma once

#include "proxy/tables/relaymessages.h"

#include <optional>
#include <string>

namespace papayaspindle {

/** Peer method that asks a reader for rows of the store. */
inline constexpr const char* kRelayMethod = "Relay";

std::string EncodeRelayRequest(const proxy::RelayRequest& aRequest);
/** @return the request, or nothing for bytes of another kind */
std::optional<proxy::RelayRequest> DecodeRelayRequest(const std::string& aBytes);

std::string EncodeRelayAnswer(const proxy::RelayAnswer& aAnswer);
/** @return the answer, or nothing for bytes of another kind */
std::optional<proxy::RelayAnswer> DecodeRelayAnswer(const std::string& aBytes);

} // namespace papayaspindle
