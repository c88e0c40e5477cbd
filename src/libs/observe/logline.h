#pragma once

#include "observe/log.h"

#include <chrono>
#include <span>
#include <string>
#include <string_view>

namespace papayaspindle {

/**
 * @param aTime wall-clock time of the event
 * @return "time level subsystem event key=value ..." as one line with its line end.
 * Values are quoted when they are empty or contain blanks, quotes, '=', backslashes or
 * control characters.
 */
std::string FormatLogLine(std::chrono::system_clock::time_point aTime,
                          LogLevel aLevel,
                          std::string_view aSubsystem,
                          std::string_view aEvent,
                          std::span<const LogField> aFields);

/** @return whether lines of the level are written for the subsystem */
bool IsLogged(LogLevel aLevel, std::string_view aSubsystem);

} // namespace papayaspindle
