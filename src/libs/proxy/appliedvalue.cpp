#include "proxy/appliedvalue.h"

namespace papayaspindle::proxy {

namespace {

constexpr std::size_t kMaxTextBytes = 1024;

} // namespace

AppliedValue::AppliedValue(std::string_view aValue)
  : mIsSet(true)
{
  if (aValue.size() <= kMaxTextBytes) {
    mText = aValue;
  } else {
    mDigest = DigestOf(aValue);
  }
}

bool
AppliedValue::Matches(std::string_view aValue) const
{
  if (!mIsSet || mDigest.has_value() != (aValue.size() > kMaxTextBytes)) {
    return false;
  }
  return mDigest ? *mDigest == DigestOf(aValue) : mText == aValue;
}

} // namespace papayaspindle::proxy
