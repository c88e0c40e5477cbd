#include "observe/logline.h"

#include "observe/json.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <algorithm>

namespace papayaspindle {

namespace {

std::string_view
LevelName(LogLevel aLevel)
{
  switch (aLevel) {
    case LogLevel::Debug:
      return "debug";
    case LogLevel::Info:
      return "info";
    case LogLevel::Warning:
      return "warning";
    case LogLevel::Error:
      return "error";
  }
  return "unknown";
}

bool
NeedsQuotes(std::string_view aValue)
{
  constexpr unsigned char kLastControl = 0x1f;
  return aValue.empty() || std::any_of(aValue.begin(), aValue.end(), [](char aChar) {
           return static_cast<unsigned char>(aChar) <= kLastControl || aChar == ' ' ||
                  aChar == '"' || aChar == '=' || aChar == '\\';
         });
}

} // namespace

std::string
FormatLogLine(std::chrono::system_clock::time_point aTime,
              LogLevel aLevel,
              std::string_view aSubsystem,
              std::string_view aEvent,
              std::span<const LogField> aFields)
{
  using std::chrono::milliseconds;
  constexpr std::int64_t kMillisecondsPerSecond = 1000;
  const auto sinceEpoch =
    std::chrono::duration_cast<milliseconds>(aTime.time_since_epoch()).count();
  std::string line = fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z {} {} {}",
                                 fmt::gmtime(sinceEpoch / kMillisecondsPerSecond),
                                 sinceEpoch % kMillisecondsPerSecond,
                                 LevelName(aLevel),
                                 aSubsystem,
                                 aEvent);
  for (const LogField& field : aFields) {
    line +=
      fmt::format(" {}={}",
                  field.mKey,
                  NeedsQuotes(field.mValue) ? JsonString(field.mValue) : field.mValue);
  }
  line += '\n';
  return line;
}

} // namespace papayaspindle
