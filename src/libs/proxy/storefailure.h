#pragma once

#include <cstdint>
#include <string_view>

namespace papayaspindle::proxy {

/** Reason why a call to the store has no result. */
enum class StoreFailure : std::uint8_t
{
  /** The call was not sent; it had no effect. */
  NotSent,
  /** The store refused the call because of its rate limit; it had no effect. */
  RateLimited,
  /** The store refused the call for another reason; it had no effect. */
  Refused,
  /** No answer arrived; the call may have taken effect or may still do so. */
  NoAnswer,
};

/** @return name of the reason for logs */
constexpr std::string_view
Name(StoreFailure aFailure)
{
  switch (aFailure) {
    case StoreFailure::NotSent:
      return "not_sent";
    case StoreFailure::RateLimited:
      return "rate_limited";
    case StoreFailure::Refused:
      return "refused";
    case StoreFailure::NoAnswer:
      return "no_answer";
  }
  return "unknown";
}

} // namespace papayaspindle::proxy
