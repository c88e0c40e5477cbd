#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace papayaspindle {

/** W3C trace context: https://www.w3.org/TR/trace-context/ */
struct TraceContext
{
  /** 32 lower-case hexadecimal digits. */
  std::string mTraceId;
  /** 16 lower-case hexadecimal digits. */
  std::string mSpanId;
};

/**
 * @param aTraceparent value of a `traceparent` header
 * @return the trace context, or nothing when the value is malformed
 */
std::optional<TraceContext> ParseTraceparent(std::string_view aTraceparent);

/** @return the context as a `traceparent` header value of version 00 with the sampled
 * flag
 */
std::string FormatTraceparent(const TraceContext& aContext);

} // namespace papayaspindle
