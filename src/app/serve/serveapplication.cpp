#include "serve/serveapplication.h"

#include "commandline/commandline.h"
#include "observe/log.h"
#include "serve/server.h"

#include <csignal>
#include <cstdlib>
#include <utility>

namespace papayaspindle {

namespace {

constexpr std::string_view kSubsystem = "serve";

/** Blocks the termination signals in this and all later threads, so that only
 * waitForTerminationRequest() gets them. */
void
BlockTerminationSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  for (const int signal : { SIGTERM, SIGINT, SIGQUIT }) {
    sigaddset(&signals, signal);
  }
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

} // namespace

ServeApplication::ServeApplication(Settings aSettings)
  : mSettings(std::move(aSettings))
{
}

int
ServeApplication::main(const std::vector<std::string>&)
{
  BlockTerminationSignals();
  Server server(mSettings);
  const Status started = server.Start();
  if (!IsOk(started)) {
    Log(LogLevel::Error,
        kSubsystem,
        "start_failed",
        { { "reason", ErrorOf(started).mMessage } });
    return kExitRefused;
  }
  Log(LogLevel::Info,
      kSubsystem,
      "started",
      { { "instance", mSettings.mInstanceName },
        { "callers", mSettings.mListenCallers },
        { "peers", mSettings.mListenPeers } });
  waitForTerminationRequest();
  const bool complete = server.Drain();
  Log(complete ? LogLevel::Info : LogLevel::Error,
      kSubsystem,
      complete ? "stopped" : "drain_deadline_passed");
  if (!complete) {
    // Work in flight still uses the managers, so they must not be destroyed.
    std::_Exit(kExitRefused);
  }
  return kExitDone;
}

} // namespace papayaspindle
