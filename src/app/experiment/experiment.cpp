#include "experiment/experiment.h"

#include "commandline/commandline.h"
#include "experiment/experimentoptions.h"
#include "experiment/experimentresult.h"
#include "experiment/loadrun.h"

#include <fmt/core.h>

#include <fstream>
#include <span>
#include <string>

namespace papayaspindle {

namespace {

int
FailUsage(const std::string& aLine)
{
  fmt::print(stderr, "papayaspindle experiment: {}\n", aLine);
  return kExitUsage;
}

/** @return whether the results were written */
bool
WriteResults(const std::string& aFile, const std::string& aJson)
{
  if (aFile.empty()) {
    fmt::print("{}\n", aJson);
    return true;
  }
  std::ofstream file(aFile);
  file << aJson << '\n';
  file.close();
  return !file.fail();
}

} // namespace

int
RunExperiment(int aArgumentCount, char** aArguments)
{
  const std::span<char* const> arguments(aArguments + 1, aArgumentCount - 1);
  const auto parsed = ParseCommandLine(arguments, experiment::ExperimentFlags());
  if (const auto* wrong = std::get_if<UsageError>(&parsed)) {
    return FailUsage(wrong->mLine);
  }
  const CommandLine& line = std::get<CommandLine>(parsed);
  if (line.mHelp) {
    fmt::print("usage: papayaspindle experiment [FLAGS]\n{}",
               DescribeFlags(experiment::ExperimentFlags()));
    return kExitDone;
  }
  if (line.mVersion) {
    fmt::print("papayaspindle {}\n", Version());
    return kExitDone;
  }
  if (!line.mWords.empty()) {
    return FailUsage("unknown argument " + line.mWords.front() + "; see --help");
  }
  const auto options = experiment::OptionsFromFlags();
  if (!IsOk(options)) {
    return FailUsage(ErrorOf(options).mMessage);
  }
  const experiment::ExperimentResult result = experiment::RunLoad(ValueOf(options));
  fmt::print("{}", experiment::ResultAsText(result));
  const bool written = WriteResults(ValueOf(options).mOutput,
                                    experiment::ResultAsJson(ValueOf(options), result));
  return written && result.IsGood() ? kExitDone : kExitRefused;
}

} // namespace papayaspindle
