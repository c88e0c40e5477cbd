#include "serve/serve.h"

#include "commandline/commandline.h"
#include "observe/log.h"
#include "serve/serveapplication.h"
#include "settings/settingsreader.h"
#include "settings/settingvalue.h"

#include <fmt/core.h>
#include <gflags/gflags.h>

#include <array>
#include <cstdio>
#include <span>

DEFINE_string(settings, "", "settings file, see docs/papayaspindle.ini.sample");
DEFINE_bool(check_settings, false, "check the settings file and exit");
DEFINE_bool(print_sample, false, "print a settings file with every key explained");

namespace papayaspindle {

namespace {

constexpr std::array<std::string_view, 3> kFlags{ "settings",
                                                  "check_settings",
                                                  "print_sample" };

int
FailUsage(const std::string& aLine)
{
  fmt::print(stderr, "papayaspindle serve: {}\n", aLine);
  return kExitUsage;
}

void
SetLogLevels(const Settings& aSettings)
{
  SetLogLevel("", *LogLevelFromName(aSettings.mLogLevel));
  for (const std::string& part : SplitText(aSettings.mLogLevels, ',')) {
    const std::size_t equals = part.find('=');
    SetLogLevel(part.substr(0, equals), *LogLevelFromName(part.substr(equals + 1)));
  }
}

} // namespace

int
RunServe(int aArgumentCount, char** aArguments)
{
  const std::span<char* const> arguments(aArguments + 1, aArgumentCount - 1);
  const auto parsed = ParseCommandLine(arguments, kFlags);
  if (const auto* wrong = std::get_if<UsageError>(&parsed)) {
    return FailUsage(wrong->mLine);
  }
  const CommandLine& line = std::get<CommandLine>(parsed);
  if (line.mHelp) {
    fmt::print("usage: papayaspindle serve --settings FILE\n{}", DescribeFlags(kFlags));
    return kExitDone;
  }
  if (line.mVersion) {
    fmt::print("papayaspindle {}\n", Version());
    return kExitDone;
  }
  if (FLAGS_print_sample) {
    fmt::print("{}", SampleSettings());
    return kExitDone;
  }
  if (!line.mWords.empty()) {
    return FailUsage("unknown argument " + line.mWords.front() + "; see --help");
  }
  if (FLAGS_settings.empty()) {
    return FailUsage("--settings FILE is missing; see --help");
  }
  const SettingsReader reader(FLAGS_settings);
  const auto settings = reader.Read();
  if (const auto* wrong = std::get_if<SettingsError>(&settings)) {
    return FailUsage(wrong->mLine);
  }
  if (FLAGS_check_settings) {
    return kExitDone;
  }
  const SettingsError taken = reader.CheckListeners(std::get<Settings>(settings));
  if (!taken.mLine.empty()) {
    return FailUsage(taken.mLine);
  }
  SetLogLevels(std::get<Settings>(settings));
  ServeApplication application(std::get<Settings>(settings));
  return application.run(1, aArguments);
}

} // namespace papayaspindle
