#include "commandline/commandline.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <algorithm>
#include <optional>

namespace papayaspindle {

namespace {

/** One argument that starts with a dash. */
struct FlagArgument
{
  std::string mName;
  std::optional<std::string> mValue;
};

FlagArgument
SplitFlag(std::string_view aArgument)
{
  aArgument.remove_prefix(aArgument.starts_with("--") ? 2 : 1);
  const std::size_t equals = aArgument.find('=');
  if (equals == std::string_view::npos) {
    return { std::string(aArgument), std::nullopt };
  }
  return { std::string(aArgument.substr(0, equals)),
           std::string(aArgument.substr(equals + 1)) };
}

bool
IsKnown(std::span<const std::string_view> aFlags, std::string_view aName)
{
  return std::find(aFlags.begin(), aFlags.end(), aName) != aFlags.end();
}

bool
IsBool(const std::string& aName)
{
  return gflags::GetCommandLineFlagInfoOrDie(aName.c_str()).type == "bool";
}

} // namespace

std::variant<CommandLine, UsageError>
ParseCommandLine(std::span<char* const> aArguments,
                 std::span<const std::string_view> aFlags)
{
  CommandLine line;
  for (std::size_t at = 0; at < aArguments.size(); ++at) {
    const std::string_view argument = aArguments[at];
    if (argument.size() < 2 || argument.front() != '-') {
      line.mWords.emplace_back(argument);
      continue;
    }
    FlagArgument flag = SplitFlag(argument);
    if (flag.mName == "help" || flag.mName == "version") {
      (flag.mName == "help" ? line.mHelp : line.mVersion) = true;
      continue;
    }
    if (!IsKnown(aFlags, flag.mName) && flag.mName.starts_with("no") &&
        IsKnown(aFlags, flag.mName.substr(2)) && IsBool(flag.mName.substr(2))) {
      flag = { flag.mName.substr(2), "false" };
    }
    if (!IsKnown(aFlags, flag.mName)) {
      return UsageError{ fmt::format("unknown flag {}; see --help", argument) };
    }
    if (!flag.mValue && IsBool(flag.mName)) {
      flag.mValue = "true";
    }
    if (!flag.mValue && at + 1 < aArguments.size()) {
      flag.mValue = aArguments[++at];
    }
    if (!flag.mValue) {
      return UsageError{ fmt::format("flag --{} needs a value", flag.mName) };
    }
    if (gflags::SetCommandLineOption(flag.mName.c_str(), flag.mValue->c_str()).empty()) {
      const std::string type =
        gflags::GetCommandLineFlagInfoOrDie(flag.mName.c_str()).type;
      return UsageError{ fmt::format(
        "flag --{} = \"{}\": not of type {}", flag.mName, *flag.mValue, type) };
    }
  }
  return line;
}

std::string
DescribeFlags(std::span<const std::string_view> aFlags)
{
  std::string text;
  for (const std::string_view name : aFlags) {
    const auto info = gflags::GetCommandLineFlagInfoOrDie(std::string(name).c_str());
    text += fmt::format("  --{:<18} {} (default {})\n",
                        name,
                        info.description,
                        info.default_value.empty() ? "none" : info.default_value);
  }
  return text;
}

std::string_view
Version()
{
  return PAPAYASPINDLE_VERSION;
}

} // namespace papayaspindle
