#include "observe/tracecontext.h"

#include <fmt/format.h>

#include <cstddef>

namespace papayaspindle {

namespace {

// Format: version "-" trace id "-" span id "-" flags, for example "00-...-...-01".
constexpr std::size_t kVersionDigits = 2;
constexpr std::size_t kTraceIdDigits = 32;
constexpr std::size_t kSpanIdDigits = 16;
constexpr std::size_t kFlagDigits = 2;
constexpr std::size_t kTraceIdAt = kVersionDigits + 1;
constexpr std::size_t kSpanIdAt = kTraceIdAt + kTraceIdDigits + 1;
constexpr std::size_t kFlagsAt = kSpanIdAt + kSpanIdDigits + 1;
constexpr std::size_t kLength = kFlagsAt + kFlagDigits;

bool
IsHex(std::string_view aText)
{
  return aText.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

bool
IsNonZeroHex(std::string_view aText)
{
  return IsHex(aText) && aText.find_first_not_of('0') != std::string_view::npos;
}

} // namespace

std::optional<TraceContext>
ParseTraceparent(std::string_view aTraceparent)
{
  if (aTraceparent.size() < kLength) {
    return std::nullopt;
  }
  const std::string_view version = aTraceparent.substr(0, kVersionDigits);
  // Version 00 allows no further fields, later versions do, and ff is invalid.
  const bool known = version == "00" && aTraceparent.size() == kLength;
  const bool later = version != "00" && version != "ff" && IsHex(version) &&
                     (aTraceparent.size() == kLength || aTraceparent[kLength] == '-');
  if (!known && !later) {
    return std::nullopt;
  }
  if (aTraceparent[kTraceIdAt - 1] != '-' || aTraceparent[kSpanIdAt - 1] != '-' ||
      aTraceparent[kFlagsAt - 1] != '-') {
    return std::nullopt;
  }
  const std::string_view traceId = aTraceparent.substr(kTraceIdAt, kTraceIdDigits);
  const std::string_view spanId = aTraceparent.substr(kSpanIdAt, kSpanIdDigits);
  if (!IsNonZeroHex(traceId) || !IsNonZeroHex(spanId) ||
      !IsHex(aTraceparent.substr(kFlagsAt, kFlagDigits))) {
    return std::nullopt;
  }
  return TraceContext{ std::string(traceId), std::string(spanId) };
}

std::string
FormatTraceparent(const TraceContext& aContext)
{
  return fmt::format("00-{}-{}-01", aContext.mTraceId, aContext.mSpanId);
}

} // namespace papayaspindle
