#include "experiment/readchecker.h"

#include "experiment/registerhistory.h"

#include <charconv>
#include <string>
#include <string_view>

namespace papayaspindle::experiment {

namespace {

std::optional<std::uint64_t>
Number(std::string_view aText)
{
  std::uint64_t number = 0;
  const char* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return number;
}

} // namespace

std::optional<std::uint64_t>
RegisterValue(const Operation& aRead, const v1::ExecuteReply& aReply)
{
  if (aRead.mKind == RegisterKind::Version && aReply.rows_size() == 0) {
    return 0;
  }
  if (aReply.rows_size() != 1 || aReply.rows(0).columns_size() != 1) {
    return std::nullopt;
  }
  const std::string_view text = aReply.rows(0).columns(0);
  if (aRead.mKind == RegisterKind::Count) {
    return Number(text);
  }
  const std::string begin = aRead.mRegister + "#";
  if (!text.starts_with(begin)) {
    return std::nullopt;
  }
  return Number(text.substr(begin.size()));
}

ReadVerdict
CheckRead(const Operation& aRead,
          const v1::ExecuteReply& aReply,
          TimePoint aSentAt,
          std::uint64_t aOwnValue,
          const RegisterHistory& aHistory)
{
  const std::optional<std::uint64_t> value = RegisterValue(aRead, aReply);
  if (!value.has_value() || *value > aHistory.Attempted(aRead.mRegister)) {
    return ReadVerdict::Impossible;
  }
  if (*value < aOwnValue) {
    return ReadVerdict::OwnWriteMissing;
  }
  const TimePoint horizon = aSentAt - aRead.mMaxStaleness;
  if (*value < aHistory.AcknowledgedBy(aRead.mRegister, horizon)) {
    return ReadVerdict::Stale;
  }
  return ReadVerdict::Good;
}

} // namespace papayaspindle::experiment
