#include "experiment/faultscript.h"

#include "standin.pb.h"
#include "standin/faultassignment.h"

#include <fmt/core.h>

#include <algorithm>
#include <optional>
#include <sstream>

namespace papayaspindle::experiment {

namespace {

bool
AreAssignments(const std::vector<std::string>& aWords)
{
  v1::FaultSettings settings;
  return !aWords.empty() &&
         std::all_of(aWords.begin(), aWords.end(), [&](const std::string& aWord) {
           return IsOk(standin::AssignFault(aWord, settings));
         });
}

std::optional<FaultStep>
ParseLine(const std::string& aLine)
{
  std::istringstream words(aLine);
  FaultStep step;
  std::int64_t at = 0;
  std::string action;
  if (!(words >> at >> action) || at < 0) {
    return std::nullopt;
  }
  step.mAt = std::chrono::milliseconds(at);
  if (action != "report" && !(words >> step.mTarget)) {
    return std::nullopt;
  }
  for (std::string word; words >> word;) {
    step.mWords.push_back(word);
  }
  if (action == "set") {
    step.mAction = FaultAction::Set;
    return AreAssignments(step.mWords) ? std::optional(step) : std::nullopt;
  }
  if (action == "clear") {
    step.mAction = FaultAction::Clear;
    return step.mWords.empty() ? std::optional(step) : std::nullopt;
  }
  step.mAction = FaultAction::Report;
  return action == "report" && !step.mWords.empty() ? std::optional(step) : std::nullopt;
}

} // namespace

Result<std::vector<FaultStep>>
ParseFaultScript(std::string_view aText)
{
  std::istringstream lines{ std::string(aText) };
  std::vector<FaultStep> steps;
  std::string line;
  for (int number = 1; std::getline(lines, line); ++number) {
    if (line.empty() || line.front() == '#') {
      continue;
    }
    std::optional<FaultStep> step = ParseLine(line);
    if (!step.has_value()) {
      return Error{ ErrorKind::MalformedRequest,
                    fmt::format("fault script, line {}: '{}'", number, line) };
    }
    steps.push_back(*std::move(step));
  }
  std::stable_sort(
    steps.begin(), steps.end(), [](const FaultStep& aOne, const FaultStep& aOther) {
      return aOne.mAt < aOther.mAt;
    });
  return steps;
}

} // namespace papayaspindle::experiment
