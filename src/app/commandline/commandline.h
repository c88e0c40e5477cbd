#pragma once

#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace papayaspindle {

/** Exit statuses of the binary. */
constexpr int kExitDone = 0;
constexpr int kExitRefused = 1;
constexpr int kExitUsage = 2;

/** A command line after its flags are taken out. */
struct CommandLine
{
  std::vector<std::string> mWords;
  bool mHelp = false;
  bool mVersion = false;
};

/** A command line that cannot be read; one line. */
struct UsageError
{
  std::string mLine;
};

/**
 * Sets gflags from "--name=value", "--name value", "--flag" and "--noflag". Unlike
 * gflags' own parser it refuses flags of other verbs, and leaves the exit status to the
 * caller.
 *
 * @param aArguments without the program's name
 * @param aFlags names of the gflags that the verb knows
 */
std::variant<CommandLine, UsageError> ParseCommandLine(
  std::span<char* const> aArguments,
  std::span<const std::string_view> aFlags);

/** @return one line for each flag with its default and explanation */
std::string DescribeFlags(std::span<const std::string_view> aFlags);

/** @return version of the binary */
std::string_view Version();

} // namespace papayaspindle
