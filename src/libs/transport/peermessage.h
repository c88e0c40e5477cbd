#pragma once

#include "core/error.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace papayaspindle {

/** Prefix of the path of each request; the method's name follows. */
constexpr std::string_view kPeerPathPrefix = "/peer/";
/** Trailer with the length and checksum of the body. */
constexpr std::string_view kBodyCheckHeader = "body-check";
constexpr std::string_view kTraceparentHeader = "traceparent";
/** Status of a reply with a body from the handler. */
constexpr std::string_view kStatusOk = "200";
/** Status of a reply whose body is an ErrorInfo message. */
constexpr std::string_view kStatusError = "500";

/**
 * Describes a body so that a truncated, damaged or crossed one is noticed.
 *
 * @param aStream HTTP/2 stream that carries the body
 * @param aContext method of a request; status and method of a reply
 * @return length and CRC-32 of stream, context and body
 */
std::string BodyCheck(std::int32_t aStream,
                      std::string_view aContext,
                      std::string_view aBody);

/** @return the context of a reply's BodyCheck */
std::string ReplyContext(std::string_view aStatus, std::string_view aMethod);

/** @return a serialised ErrorInfo message */
std::string EncodeError(const Error& aError);

/** @return the error in a serialised ErrorInfo, or OutcomeUnknown when it is damaged */
Error DecodeError(const std::string& aBody);

} // namespace papayaspindle
