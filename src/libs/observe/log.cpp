#include "observe/log.h"

#include "observe/logline.h"

#include <fmt/core.h>

#include <cstdio>
#include <map>
#include <mutex>
#include <shared_mutex>

namespace papayaspindle {

namespace {

struct LogLevels
{
  std::shared_mutex mMutex;
  LogLevel mDefault = LogLevel::Info;
  std::map<std::string, LogLevel, std::less<>> mBySubsystem;
};

LogLevels&
Levels()
{
  static LogLevels sLevels;
  return sLevels;
}

} // namespace

bool
IsLogged(LogLevel aLevel, std::string_view aSubsystem)
{
  LogLevels& levels = Levels();
  const std::shared_lock lock(levels.mMutex);
  const auto found = levels.mBySubsystem.find(aSubsystem);
  return aLevel >= (found == levels.mBySubsystem.end() ? levels.mDefault : found->second);
}

void
Log(LogLevel aLevel,
    std::string_view aSubsystem,
    std::string_view aEvent,
    std::initializer_list<LogField> aFields)
{
  if (!IsLogged(aLevel, aSubsystem)) {
    return;
  }
  // Each line is written by one call, so that lines of several threads don't mix.
  const std::string line =
    FormatLogLine(std::chrono::system_clock::now(), aLevel, aSubsystem, aEvent, aFields);
  std::fwrite(line.data(), 1, line.size(), stderr);
}

void
SetLogLevel(std::string_view aSubsystem, LogLevel aLevel)
{
  LogLevels& levels = Levels();
  const std::unique_lock lock(levels.mMutex);
  if (aSubsystem.empty()) {
    levels.mDefault = aLevel;
    levels.mBySubsystem.clear();
    return;
  }
  levels.mBySubsystem.insert_or_assign(std::string(aSubsystem), aLevel);
}

std::optional<LogLevel>
LogLevelFromName(std::string_view aName)
{
  if (aName == "debug") {
    return LogLevel::Debug;
  }
  if (aName == "info") {
    return LogLevel::Info;
  }
  if (aName == "warning") {
    return LogLevel::Warning;
  }
  if (aName == "error") {
    return LogLevel::Error;
  }
  return std::nullopt;
}

} // namespace papayaspindle
