#include "experiment/experimentoptions.h"

#include <fmt/core.h>
#include <gflags/gflags.h>

#include <array>
#include <fstream>
#include <iterator>

DEFINE_string(entries, "", "IP:PORT of each entry instance, separated by commas");
DEFINE_string(log_members, "", "GROUP=IP:PORT of each member, separated by commas");
DEFINE_bool(direct, false, "send to the members' primaries, without entry instances");
DEFINE_string(mix, "iazul", "iazul or notices");
DEFINE_double(rate, 100, "requests per second; 0 for a closed loop");
DEFINE_bool(poisson, false, "exponential pauses between requests instead of equal ones");
DEFINE_uint32(seconds, 10, "length of the load");
DEFINE_uint32(sessions, 64, "sessions at once; requests beyond them are sent late");
DEFINE_uint64(experiment_seed, 1, "fixes the random numbers");
DEFINE_uint32(view_age_ms, 2000, "age of data that views and register reads accept");
DEFINE_uint32(request_timeout_ms, 3000, "deadline of each call");
DEFINE_uint32(give_up_ms, 15000, "after this a write's outcome is left unknown");
DEFINE_uint32(move_percent, 20, "requests of 100 before which a session moves");
DEFINE_uint32(visit_requests, 50, "requests after which another session begins");
DEFINE_string(faults, "", "file with a fault script: AT_MS set|clear|report ...");
DEFINE_string(output, "", "file for the results as JSON; empty for standard output");

namespace papayaspindle::experiment {

namespace {

constexpr std::array<std::string_view, 16> kFlags{
  "direct",
  "entries",
  "log_members",
  "mix",
  "rate",
  "poisson",
  "seconds",
  "sessions",
  "experiment_seed",
  "view_age_ms",
  "move_percent",
  "give_up_ms",
  "request_timeout_ms",
  "faults",
  "visit_requests",
  "output",
};

Error
Wrong(std::string_view aFlag, std::string_view aWhat)
{
  return { ErrorKind::MalformedRequest, fmt::format("--{}: {}", aFlag, aWhat) };
}

std::vector<std::string_view>
Parts(std::string_view aText)
{
  std::vector<std::string_view> parts;
  while (!aText.empty()) {
    const std::size_t end = std::min(aText.find(','), aText.size());
    if (end > 0) {
      parts.push_back(aText.substr(0, end));
    }
    aText.remove_prefix(std::min(end + 1, aText.size()));
  }
  return parts;
}

Result<std::vector<FaultStep>>
ReadFaults()
{
  if (FLAGS_faults.empty()) {
    return std::vector<FaultStep>();
  }
  std::ifstream file(FLAGS_faults);
  if (!file) {
    return Wrong("faults", "cannot be read");
  }
  return ParseFaultScript(std::string{ std::istreambuf_iterator<char>(file), {} });
}

} // namespace

std::span<const std::string_view>
ExperimentFlags()
{
  return kFlags;
}

Result<MemberAddresses>
ParseMembers(std::string_view aText)
{
  MemberAddresses members;
  for (const std::string_view part : Parts(aText)) {
    const std::size_t equals = part.find('=');
    if (equals == 0 || equals == std::string_view::npos || equals + 1 == part.size()) {
      return Wrong("log_members", "allowed is GROUP=IP:PORT, separated by commas");
    }
    const GroupId group(std::string(part.substr(0, equals)));
    members[group].emplace_back(part.substr(equals + 1));
  }
  return members;
}

Result<ExperimentOptions>
OptionsFromFlags()
{
  Result<MemberAddresses> members = ParseMembers(FLAGS_log_members);
  if (!IsOk(members)) {
    return ErrorOf(members);
  }
  Result<std::vector<FaultStep>> faults = ReadFaults();
  if (!IsOk(faults)) {
    return ErrorOf(faults);
  }
  ExperimentOptions options;
  for (const std::string_view entry : Parts(FLAGS_entries)) {
    options.mEntries.emplace_back(entry);
  }
  options.mDirect = FLAGS_direct;
  const bool noEntries = options.mEntries.empty() && !options.mDirect;
  if (noEntries || ValueOf(members).empty()) {
    return Wrong(noEntries ? "entries" : "log_members", "is missing");
  }
  if (FLAGS_mix != "iazul" && FLAGS_mix != "notices") {
    return Wrong("mix", "allowed are iazul and notices");
  }
  if (FLAGS_rate < 0 || FLAGS_sessions == 0 || FLAGS_seconds == 0) {
    return Wrong("rate, --sessions, --seconds", "must be positive");
  }
  options.mMembers = std::move(ValueOf(members));
  options.mFaults = std::move(ValueOf(faults));
  options.mMix = FLAGS_mix;
  options.mRate = FLAGS_rate;
  options.mPoisson = FLAGS_poisson;
  options.mLength = std::chrono::seconds(FLAGS_seconds);
  options.mSessions = FLAGS_sessions;
  options.mSeed = FLAGS_experiment_seed;
  options.mViewAge = std::chrono::milliseconds(FLAGS_view_age_ms);
  options.mTimeout = std::chrono::milliseconds(FLAGS_request_timeout_ms);
  options.mGiveUp = std::chrono::milliseconds(FLAGS_give_up_ms);
  options.mMovePercent = FLAGS_move_percent;
  options.mVisitRequests = FLAGS_visit_requests;
  options.mOutput = FLAGS_output;
  return options;
}

} // namespace papayaspindle::experiment
