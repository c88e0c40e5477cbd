#include "ctl/ctl.h"

#include "commandline/commandline.h"
#include "ctl/callercommands.h"
#include "ctl/ctlclient.h"
#include "ctl/groupcommands.h"
#include "ctl/instancecommands.h"

#include <fmt/core.h>

#include <algorithm>
#include <array>
#include <span>
#include <string_view>

namespace papayaspindle {

namespace {

/** One command: its words and the names of the words that follow. */
struct CtlCommand
{
  std::string_view mFirst;
  /** Empty when the command is one word. */
  std::string_view mSecond;
  std::string_view mParameters;
  std::size_t mParameterCount;
  CtlFunction mFunction;
  std::string_view mExplanation;
};

constexpr std::array kCommands{
  CtlCommand{ "groups", "list", "", 0, &ListGroups, "lists all groups' settings" },
  CtlCommand{ "groups", "show", "GROUP", 1, &ShowGroup, "shows a group's state" },
  CtlCommand{ "groups", "create", "GROUP", 1, &CreateGroup, "creates a group" },
  CtlCommand{ "groups", "change", "GROUP", 1, &ChangeGroup, "changes a group" },
  CtlCommand{ "groups", "plan", "GROUP", 1, &PlanChange, "shows a change's effects" },
  CtlCommand{ "instance", "show", "", 0, &ShowInstance, "shows instance and peers" },
  CtlCommand{ "metrics", "", "", 0, &ShowMetrics, "prints histograms and counters" },
  CtlCommand{ "execute", "", "GROUP STATEMENT", 2, &Execute, "runs a statement" },
  CtlCommand{ "begin", "", "GROUP", 1, &Begin, "opens a transaction" },
  CtlCommand{ "commit", "", "TRANSACTION", 1, &CommitTransaction, "commits it" },
  CtlCommand{ "rollback", "", "TRANSACTION", 1, &Rollback, "rolls it back" },
  CtlCommand{ "outcome", "", "GROUP REQUEST_ID", 2, &Outcome, "looks up a write" },
};

constexpr std::array<std::string_view, 20> kFlags{
  "address",
  "timeout_ms",
  "json",
  "tls_authority",
  "tls_certificate",
  "tls_key",
  "from",
  "members",
  "leaving",
  "staleness",
  "slots",
  "connection_limit",
  "expected_revision",
  "access",
  "caller",
  "request_id",
  "session_token",
  "transaction",
  "max_staleness_ms",
  "staleness_rule",
};

std::string
WordsOf(const CtlCommand& aCommand)
{
  std::string words(aCommand.mFirst);
  for (const std::string_view part : { aCommand.mSecond, aCommand.mParameters }) {
    if (!part.empty()) {
      words += fmt::format(" {}", part);
    }
  }
  return words;
}

void
PrintHelp()
{
  fmt::print("usage: papayaspindle ctl COMMAND [FLAGS]\n");
  for (const CtlCommand& command : kCommands) {
    const std::string words = WordsOf(command);
    fmt::print("  {:<28} {}\n", words, command.mExplanation);
  }
  fmt::print("flags:\n{}", DescribeFlags(kFlags));
}

int
Run(const std::vector<std::string>& aWords)
{
  const auto matches = [&](const CtlCommand& aCommand) {
    const bool second =
      aCommand.mSecond.empty() || (aWords.size() > 1 && aWords[1] == aCommand.mSecond);
    return !aWords.empty() && aWords[0] == aCommand.mFirst && second;
  };
  const auto* command = std::find_if(kCommands.begin(), kCommands.end(), matches);
  if (command == kCommands.end()) {
    PrintUsageError("no such command; see papayaspindle ctl --help");
    return kExitUsage;
  }
  const std::size_t own = command->mSecond.empty() ? 1 : 2;
  if (aWords.size() != own + command->mParameterCount) {
    PrintUsageError("usage: papayaspindle ctl " + WordsOf(*command));
    return kExitUsage;
  }
  const CtlClient client;
  const auto first = aWords.begin() + static_cast<std::ptrdiff_t>(own);
  return command->mFunction({ { first, aWords.end() }, client });
}

} // namespace

int
RunCtl(int aArgumentCount, char** aArguments)
{
  const std::span<char* const> arguments(aArguments + 1, aArgumentCount - 1);
  const auto parsed = ParseCommandLine(arguments, kFlags);
  if (const auto* wrong = std::get_if<UsageError>(&parsed)) {
    PrintUsageError(wrong->mLine);
    return kExitUsage;
  }
  const CommandLine& line = std::get<CommandLine>(parsed);
  if (line.mHelp) {
    PrintHelp();
    return kExitDone;
  }
  if (line.mVersion) {
    fmt::print("papayaspindle {}\n", Version());
    return kExitDone;
  }
  return Run(line.mWords);
}

} // namespace papayaspindle
