#pragma once

#include "proxy/customers/keydigest.h"

#include <optional>
#include <string>
#include <string_view>

namespace papayaspindle::proxy {

/** A session value as it is set on a pooled connection: short values as text, long ones
 * as a digest, so that idle connections hold no copies of them. */
class AppliedValue
{
public:
  AppliedValue() = default;
  explicit AppliedValue(std::string_view aValue);

  /** @return whether the connection has this value */
  [[nodiscard]] bool Matches(std::string_view aValue) const;

private:
  std::string mText;
  /** Digest of a long value. */
  std::optional<KeyDigest> mDigest;
  bool mIsSet = false;
};

} // namespace papayaspindle::proxy
