#include "proxy/instancerow.h"

#include "core/numericaddress.h"

#include <fmt/format.h>

#include <sstream>

namespace papayaspindle::proxy {

namespace {

// The weight of an instance is the square of its processor share.
constexpr double kMaxWeight = 1e8;

} // namespace

std::string
EncodeInstance(const RegisteredInstance& aInstance)
{
  return fmt::format("{} {} {} {}",
                     aInstance.mZone,
                     aInstance.mPeerAddress,
                     aInstance.mWeight,
                     aInstance.mIsLeaving ? "leaving" : "serving");
}

std::string
EncodeInstanceRow(const RegisteredInstance& aInstance, const InstanceWriteTime& aWritten)
{
  std::string row = fmt::format(
    "{} {} {}", EncodeInstance(aInstance), aWritten.mHeartbeat, aWritten.mStoreTimeMs);
  if (aWritten.mIncarnation != 0) {
    row += fmt::format(" {}", aWritten.mIncarnation);
  }
  return row;
}

std::optional<RegisteredInstance>
DecodeInstance(const StoredRow& aRow)
{
  std::istringstream words(aRow.mValue);
  RegisteredInstance instance;
  std::string state;
  instance.mInstance = aRow.mKey;
  if (!(words >> instance.mZone >> instance.mPeerAddress >> instance.mWeight >> state) ||
      !IsNumericAddress(instance.mPeerAddress) ||
      !(instance.mWeight > 0 && instance.mWeight <= kMaxWeight)) {
    return std::nullopt;
  }
  instance.mIsLeaving = state == "leaving";
  return instance;
}

InstanceWriteTime
DecodeInstanceWriteTime(const StoredRow& aRow)
{
  std::istringstream words(aRow.mValue);
  std::string word;
  for (int skipped = 0; skipped < 4; skipped++) {
    words >> word;
  }
  // Words that are missing or no numbers count as 0.
  InstanceWriteTime written;
  if (words >> written.mHeartbeat && words >> written.mStoreTimeMs) {
    words >> written.mIncarnation;
  }
  return written;
}

} // namespace papayaspindle::proxy
