#include "ctl/output.h"

#include <fmt/core.h>
#include <google/protobuf/util/json_util.h>

#include <cstdio>

namespace papayaspindle {

namespace {

std::string_view
RetryText(v1::RetryAdvice aAdvice)
{
  switch (aAdvice) {
    case v1::RETRY_ADVICE_NEVER:
      return "do not repeat it unchanged";
    case v1::RETRY_ADVICE_SAFE:
      return "repeat it at once";
    case v1::RETRY_ADVICE_AFTER_BACKOFF:
      return "repeat it after a pause";
    case v1::RETRY_ADVICE_LOOK_UP_OUTCOME:
      return "look up the outcome of its request id first";
    default:
      return "none";
  }
}

} // namespace

void
PrintJson(const google::protobuf::Message& aReply)
{
  google::protobuf::util::JsonPrintOptions options;
  options.preserve_proto_field_names = true;
  options.always_print_primitive_fields = true;
  std::string text;
  const auto status = google::protobuf::util::MessageToJsonString(aReply, &text, options);
  fmt::print("{}\n", status.ok() ? text : "{}");
}

void
PrintError(const v1::ErrorInfo& aError)
{
  fmt::print(stderr,
             "refused or failed: {}\n  message: {}\n  it ran: {}\n  retry: {}\n",
             aError.kind(),
             aError.message(),
             ExecutionText(aError.execution()),
             RetryText(aError.retry()));
}

void
PrintUsageError(std::string_view aLine)
{
  fmt::print(stderr, "papayaspindle ctl: {}\n", aLine);
}

std::string_view
ExecutionText(v1::Execution aExecution)
{
  switch (aExecution) {
    case v1::EXECUTION_RAN:
      return "ran";
    case v1::EXECUTION_NOT_RUN:
      return "not run";
    default:
      return "unknown";
  }
}

std::string
PositionText(const v1::LogPosition& aPosition)
{
  return fmt::format("{}/{}", aPosition.term(), aPosition.index());
}

void
PrintSettings(const v1::GroupSettings& aSettings)
{
  fmt::print("group {} revision {} slots {} connection_limit {}\n",
             aSettings.group(),
             aSettings.revision(),
             aSettings.slots(),
             aSettings.connection_limit());
  for (const v1::MemberSettings& member : aSettings.members()) {
    fmt::print("  member {} {} {}{}\n",
               member.member(),
               member.address(),
               member.availability_zone(),
               member.leaving() ? " leaving" : "");
  }
  for (const v1::StalenessRule& rule : aSettings.staleness_rules()) {
    fmt::print("  staleness {} {} ms\n", rule.name(), rule.max_staleness_ms());
  }
}

} // namespace papayaspindle
