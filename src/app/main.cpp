#include "commandline/commandline.h"
#include "platform/explaincommand.h"
#include "platform/serveplatform.h"
#ifndef PAPAYASPINDLE_PLATFORM_ONLY
#include "controlbench/controlbench.h"
#include "ctl/ctl.h"
#include "experiment/experiment.h"
#include "placementbench/placementbench.h"
#include "serve/serve.h"
#endif

#include <fmt/core.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstdlib>
#include <string_view>

using namespace papayaspindle;

namespace {

int RunVersion(int aArgumentCount, char** aArguments);
int RunInstance(int aArgumentCount, char** aArguments);

/** One verb; its function gets the arguments from the verb on. */
struct Verb
{
  std::string_view mName;
  std::string_view mExplanation;
  int (*mRun)(int aArgumentCount, char** aArguments);
};

constexpr std::array kVerbs{
  Verb{ "serve", "runs an entry instance", &RunInstance },
#ifndef PAPAYASPINDLE_PLATFORM_ONLY
  Verb{ "ctl", "calls an entry instance as operator or caller", &RunCtl },
  Verb{ "experiment", "loads entry instances and checks every answer", &RunExperiment },
  Verb{ "control", "measures what the control plane costs a node", &RunControlBench },
  Verb{ "placement", "compares ways to place groups on homes", &RunPlacementBench },
#endif
  Verb{ "explain", "asks an instance where a statement would go", &platform::RunExplain },
  Verb{ "version", "prints the version", &RunVersion },
};

void
PrintUsage(std::FILE* aFile)
{
  fmt::print(aFile, "usage: papayaspindle VERB [ARGUMENTS]; papayaspindle VERB --help\n");
  for (const Verb& verb : kVerbs) {
    fmt::print(aFile, "  {:<12} {}\n", verb.mName, verb.mExplanation);
  }
}

/** The platform names its settings file in the environment; elsewhere the command line
 * names an INI file. */
int
RunInstance(int aArgumentCount, char** aArguments)
{
  const char* platformSettings = std::getenv(platform::kSettingsVariable);
  if (platformSettings != nullptr && aArgumentCount == 1) {
    return platform::ServePlatform(platformSettings);
  }
#ifdef PAPAYASPINDLE_PLATFORM_ONLY
  (void)aArguments;
  fmt::print(stderr, "papayaspindle serve: {} is not set\n", platform::kSettingsVariable);
  return kExitUsage;
#else
  return RunServe(aArgumentCount, aArguments);
#endif
}

int
RunVersion(int aArgumentCount, char** aArguments)
{
  if (aArgumentCount > 1 && std::string_view(aArguments[1]) == "--help") {
    fmt::print("usage: papayaspindle version\nPrints the version.\n");
    return kExitDone;
  }
  fmt::print("papayaspindle {}\n", Version());
  return kExitDone;
}

} // namespace

int
main(int aArgumentCount, char** aArguments)
{
  const std::string_view name = aArgumentCount > 1 ? aArguments[1] : "";
  if (name == "--help" || name == "help") {
    PrintUsage(stdout);
    return kExitDone;
  }
  if (name == "--version") {
    return RunVersion(0, nullptr);
  }
  const auto* verb = std::find_if(
    kVerbs.begin(), kVerbs.end(), [&](const Verb& aVerb) { return aVerb.mName == name; });
  if (verb != kVerbs.end()) {
    return verb->mRun(aArgumentCount - 1, aArguments + 1);
  }
  if (!name.empty()) {
    fmt::print(stderr, "papayaspindle: unknown verb {}\n", name);
  }
  PrintUsage(stderr);
  return kExitUsage;
}
