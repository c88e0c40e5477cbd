#pragma once

#include "core/error.h"

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

namespace papayaspindle::experiment {

/** What a line of a fault script does. */
enum class FaultAction : std::uint8_t
{
  /** Changes fault switches of a stand-in. */
  Set,
  /** Switches all faults of a stand-in off. */
  Clear,
  /** Reports the words to whoever runs the experiment, for example to end a process. */
  Report,
};

/** One line of a fault script. */
struct FaultStep
{
  std::chrono::milliseconds mAt{};
  FaultAction mAction = FaultAction::Report;
  /** "ip:port" of the stand-in; empty for a report. */
  std::string mTarget;
  /** "field=value" words of a Set, or the words of a report. */
  std::vector<std::string> mWords;

  bool operator==(const FaultStep&) const = default;
};

/**
 * Parses a fault script: `AT_MS set IP:PORT FIELD=VALUE...`, `AT_MS clear IP:PORT` or
 * `AT_MS report WORDS...`; empty lines and lines that begin with '#' are skipped.
 *
 * @return the steps by time; MalformedRequest naming the first wrong line
 */
Result<std::vector<FaultStep>> ParseFaultScript(std::string_view aText);

} // namespace papayaspindle::experiment
