#pragma once

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace papayaspindle {

/** Severity of a log line. */
enum class LogLevel : std::uint8_t
{
  Debug,
  Info,
  Warning,
  Error,
};

/** A key and a value in a log line. */
struct LogField
{
  std::string_view mKey;
  std::string mValue;
};

/**
 * Writes one structured line to standard error, with the time, level, subsystem, event
 * and fields. Thread-safe.
 *
 * @param aSubsystem for example "failover"; each subsystem may have its own level
 * @param aEvent short name in snake_case, for example "primary_suspected"
 */
void Log(LogLevel aLevel,
         std::string_view aSubsystem,
         std::string_view aEvent,
         std::initializer_list<LogField> aFields = {});

/** Sets the lowest level that is written for a subsystem, or for all subsystems when the
 * name is empty. */
void SetLogLevel(std::string_view aSubsystem, LogLevel aLevel);

/** @return the level with that name ("debug", "info", "warning", "error"), or nothing */
std::optional<LogLevel> LogLevelFromName(std::string_view aName);

} // namespace papayaspindle
