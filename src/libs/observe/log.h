#pragma once

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace papayaspindle {

enum class LogLevel : std::uint8_t
{
  Debug,
  Info,
  Warning,
  Error,
};

/** One key and value of a log line. */
struct LogField
{
  std::string_view mKey;
  std::string mValue;
};

/**
 * Writes one structured line to standard error: time, level, subsystem, event, fields.
 * Thread-safe.
 *
 * @param aSubsystem for example "failover"; levels are settable for each subsystem
 * @param aEvent a short snake_case name, for example "primary_suspected"
 */
void Log(LogLevel aLevel,
         std::string_view aSubsystem,
         std::string_view aEvent,
         std::initializer_list<LogField> aFields = {});

/** Sets the level of a subsystem, or of all when the name is empty. */
void SetLogLevel(std::string_view aSubsystem, LogLevel aLevel);

/** @return the level of that name ("debug", "info", "warning", "error"), or nothing */
std::optional<LogLevel> LogLevelFromName(std::string_view aName);

} // namespace papayaspindle
