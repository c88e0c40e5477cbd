#include "ctl/groupcommands.h"

#include "ctl/ctlflags.h"
#include "ctl/groupchange.h"
#include "observe/randomid.h"

#include <fmt/core.h>
#include <google/protobuf/util/json_util.h>

#include <fstream>
#include <iterator>
#include <optional>

namespace papayaspindle {

namespace {

constexpr std::size_t kRequestIdBytes = 8;

/** What a change starts from. */
enum class ChangeKind
{
  Create,
  Change,
  Plan,
};

void
PrintGroup(const v1::ShowGroupReply& aReply)
{
  PrintSettings(aReply.settings());
  fmt::print("term {} primary {} keeper {}\nhomes",
             aReply.term(),
             aReply.primary().empty() ? "none" : aReply.primary(),
             aReply.keeper());
  for (const std::string& home : aReply.homes()) {
    fmt::print(" {}", home);
  }
  fmt::print("\nallowance floor {} leased {} in use {} queue {}\n",
             aReply.allowance_floor(),
             aReply.allowance_leased(),
             aReply.connections_in_use(),
             aReply.queue_depth());
  for (const v1::MemberState& member : aReply.members()) {
    fmt::print("  {} {} {} term {} applied {} age {} ms silence {} ms open {}{}\n",
               member.member(),
               member.availability_zone(),
               member.role(),
               member.term(),
               PositionText(member.applied()),
               member.proven_age_ms(),
               member.silence_ms(),
               member.open_connections(),
               member.leaving() ? " leaving" : "");
  }
  if (!aReply.has_last_failover()) {
    return;
  }
  const v1::FailoverReport& failover = aReply.last_failover();
  fmt::print("last failover to term {}: {} -> {}\n",
             failover.term(),
             failover.old_primary(),
             failover.new_primary());
  for (const v1::FailoverStep& step : failover.steps()) {
    fmt::print("  {:>6} ms {}\n", step.at_ms(), step.event());
  }
}

std::optional<std::string>
ReadSettingsFile(v1::GroupSettings& aSettings)
{
  std::ifstream file(FLAGS_from);
  if (!file.good()) {
    return fmt::format("--from: {} cannot be read", FLAGS_from);
  }
  const std::string text{ std::istreambuf_iterator<char>(file), {} };
  const auto status = google::protobuf::util::JsonStringToMessage(text, &aSettings);
  if (!status.ok()) {
    return fmt::format(
      "--from: {} is no group settings: {}", FLAGS_from, std::string(status.message()));
  }
  return std::nullopt;
}

GroupEdit
EditFromFlags()
{
  GroupEdit edit;
  if (!FLAGS_members.empty()) {
    edit.mMembers = FLAGS_members;
  }
  if (FLAGS_leaving != "keep") {
    edit.mLeaving = FLAGS_leaving;
  }
  if (!FLAGS_staleness.empty()) {
    edit.mStaleness = FLAGS_staleness;
  }
  if (FLAGS_slots > 0) {
    edit.mSlots = static_cast<std::uint32_t>(FLAGS_slots);
  }
  if (FLAGS_connection_limit > 0) {
    edit.mConnectionLimit = static_cast<std::uint32_t>(FLAGS_connection_limit);
  }
  return edit;
}

/** Starts from the settings in force, which the flags then change. */
int
FetchCurrent(const CtlCall& aCall, ChangeKind aKind, v1::GroupSettings& aSettings)
{
  v1::ShowGroupRequest request;
  request.set_group(aCall.mWords[0]);
  v1::ShowGroupReply reply;
  grpc::ClientContext context;
  CtlClient::Prepare(context);
  const grpc::Status status =
    aCall.mClient.Operator().ShowGroup(&context, request, &reply);
  if (!status.ok()) {
    return CtlClient::Fail(status);
  }
  if (reply.has_error() && aKind == ChangeKind::Plan &&
      reply.error().kind() == "unknown_group") {
    return kExitDone;
  }
  if (reply.has_error()) {
    PrintError(reply.error());
    return kExitRefused;
  }
  aSettings = reply.settings();
  return kExitDone;
}

int
BuildRequest(const CtlCall& aCall, ChangeKind aKind, v1::ChangeGroupRequest& aRequest)
{
  v1::GroupSettings& settings = *aRequest.mutable_settings();
  if (aKind != ChangeKind::Create) {
    if (const int status = FetchCurrent(aCall, aKind, settings); status != kExitDone) {
      return status;
    }
  }
  const std::uint64_t current = settings.revision();
  std::optional<std::string> wrong;
  if (!FLAGS_from.empty()) {
    settings.Clear();
    wrong = ReadSettingsFile(settings);
  }
  if (!wrong) {
    wrong = ApplyEdit(EditFromFlags(), settings);
  }
  if (wrong) {
    PrintUsageError(*wrong);
    return kExitUsage;
  }
  settings.set_group(aCall.mWords[0]);
  aRequest.set_expected_revision(FLAGS_expected_revision < 0
                                   ? current
                                   : static_cast<std::uint64_t>(FLAGS_expected_revision));
  settings.set_revision(aRequest.expected_revision());
  aRequest.set_request_id(FLAGS_request_id.empty() ? RandomHexId(kRequestIdBytes)
                                                   : FLAGS_request_id);
  return kExitDone;
}

int
Commit(const CtlCall& aCall, ChangeKind aKind)
{
  v1::ChangeGroupRequest request;
  if (const int status = BuildRequest(aCall, aKind, request); status != kExitDone) {
    return status;
  }
  // Known before the call, so that a lost answer can be looked up by repeating it.
  fmt::print(stderr, "request id {}\n", request.request_id());
  return aCall.mClient.CallAndPrint<v1::ChangeGroupReply>(
    [&](grpc::ClientContext& aContext, v1::ChangeGroupReply& aReply) {
      v1::Operator::Stub& stub = aCall.mClient.Operator();
      const grpc::Status status = aKind == ChangeKind::Create
                                    ? stub.CreateGroup(&aContext, request, &aReply)
                                    : stub.ChangeGroup(&aContext, request, &aReply);
      if (aReply.current_revision() != 0 && aReply.has_error()) {
        fmt::print(stderr, "current revision {}\n", aReply.current_revision());
      }
      return status;
    },
    [&](const v1::ChangeGroupReply& aReply) {
      fmt::print(
        "group {} is accepted at revision {}\n", aCall.mWords[0], aReply.revision());
    });
}

} // namespace

int
ListGroups(const CtlCall& aCall)
{
  return aCall.mClient.CallAndPrint<v1::ListGroupsReply>(
    [&](grpc::ClientContext& aContext, v1::ListGroupsReply& aReply) {
      return aCall.mClient.Operator().ListGroups(&aContext, {}, &aReply);
    },
    [](const v1::ListGroupsReply& aReply) {
      fmt::print("configuration revision {}\n", aReply.revision());
      for (const v1::GroupSettings& settings : aReply.groups()) {
        PrintSettings(settings);
      }
    });
}

int
ShowGroup(const CtlCall& aCall)
{
  v1::ShowGroupRequest request;
  request.set_group(aCall.mWords[0]);
  return aCall.mClient.CallAndPrint<v1::ShowGroupReply>(
    [&](grpc::ClientContext& aContext, v1::ShowGroupReply& aReply) {
      return aCall.mClient.Operator().ShowGroup(&aContext, request, &aReply);
    },
    &PrintGroup);
}

int
CreateGroup(const CtlCall& aCall)
{
  return Commit(aCall, ChangeKind::Create);
}

int
ChangeGroup(const CtlCall& aCall)
{
  return Commit(aCall, ChangeKind::Change);
}

int
PlanChange(const CtlCall& aCall)
{
  v1::ChangeGroupRequest request;
  if (const int status = BuildRequest(aCall, ChangeKind::Plan, request);
      status != kExitDone) {
    return status;
  }
  return aCall.mClient.CallAndPrint<v1::PlanChangeReply>(
    [&](grpc::ClientContext& aContext, v1::PlanChangeReply& aReply) {
      return aCall.mClient.Operator().PlanChange(&aContext, request, &aReply);
    },
    [](const v1::PlanChangeReply& aReply) {
      fmt::print("before: ");
      PrintSettings(aReply.before());
      fmt::print("after: ");
      PrintSettings(aReply.after());
      for (const std::string& effect : aReply.effects()) {
        fmt::print("effect: {}\n", effect);
      }
    });
}

} // namespace papayaspindle
