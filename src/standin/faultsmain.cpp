#include "backend.grpc.pb.h"
#include "convert/convert.h"
#include "standin.grpc.pb.h"
#include "standin/faultassignment.h"

#include <fmt/core.h>
#include <gflags/gflags.h>

#include <chrono>
#include <cstdlib>
#include <memory>
#include <string>
#include <vector>

#include <grpcpp/create_channel.h>
#include <grpcpp/security/credentials.h>

DEFINE_string(target, "", "ip:port of a stand-in");
DEFINE_uint32(timeout_ms, 5000, "time limit of the call");

using namespace papayaspindle;

namespace {

constexpr const char* kUsage =
  "standin-faults --target=IP:PORT COMMAND\n"
  "  show               print the fault switches\n"
  "  set FIELD=VALUE... change some switches (fields of FaultSettings)\n"
  "  clear              switch all faults off\n"
  "  status             print a backend server's status\n"
  "  log                print a backend server's log\n"
  "  lead TERM PRIMARY NAME=IP:PORT...\n"
  "                     raise a term at all members named, and make PRIMARY their "
  "primary;\n"
  "                     needs no --target";

class Client
{
public:
  explicit Client(const std::string& aTarget)
    : mStub(v1::Faults::NewStub(
        grpc::CreateChannel(aTarget, grpc::InsecureChannelCredentials())))
  {
  }

  grpc::Status Show(v1::FaultSettings& aSettings)
  {
    grpc::ClientContext context;
    SetDeadline(context);
    return mStub->ReadFaults(&context, {}, &aSettings);
  }

  grpc::Status Set(const v1::FaultSettings& aSettings)
  {
    grpc::ClientContext context;
    SetDeadline(context);
    v1::FaultReply reply;
    return mStub->SetFaults(&context, aSettings, &reply);
  }

  grpc::Status ReadLog(std::uint64_t aAfterIndex, v1::ReadLogReply& aReply)
  {
    grpc::ClientContext context;
    SetDeadline(context);
    v1::ReadLogRequest request;
    request.set_after_index(aAfterIndex);
    return mStub->ReadLog(&context, request, &aReply);
  }

private:
  static void SetDeadline(grpc::ClientContext& aContext)
  {
    aContext.set_deadline(std::chrono::system_clock::now() +
                          std::chrono::milliseconds(FLAGS_timeout_ms));
  }

  std::unique_ptr<v1::Faults::Stub> mStub;
};

int
Report(const grpc::Status& aStatus, const std::string& aText)
{
  if (!aStatus.ok()) {
    fmt::print(stderr, "{}: {}\n", FLAGS_target, aStatus.error_message());
    return 1;
  }
  if (!aText.empty()) {
    fmt::print("{}\n", aText);
  }
  return 0;
}

int
Set(Client& aClient, const std::vector<std::string>& aAssignments)
{
  v1::FaultSettings settings;
  if (const grpc::Status read = aClient.Show(settings); !read.ok()) {
    return Report(read, {});
  }
  for (const std::string& assignment : aAssignments) {
    const Status assigned = standin::AssignFault(assignment, settings);
    if (!IsOk(assigned)) {
      fmt::print(stderr, "{}\n", ErrorOf(assigned).mMessage);
      return 2;
    }
  }
  return Report(aClient.Set(settings), {});
}

int
PrintLog(Client& aClient)
{
  v1::ReadLogReply reply;
  std::uint64_t shown = 0;
  do {
    reply.Clear();
    const grpc::Status read = aClient.ReadLog(shown, reply);
    if (!read.ok()) {
      return Report(read, {});
    }
    for (const v1::LogEntry& entry : reply.entries()) {
      fmt::print("{} id={} affected={}",
                 ToString(FromMessage(entry.position())),
                 entry.request_id(),
                 entry.affected());
      for (const std::string& statement : entry.statements()) {
        fmt::print(" [{}]", statement);
      }
      fmt::print("\n");
    }
    shown += static_cast<std::uint64_t>(reply.entries_size());
  } while (reply.more());
  return 0;
}

int
PrintStatus(Client& aClient)
{
  v1::ReadLogReply reply;
  const grpc::Status read = aClient.ReadLog(UINT64_MAX, reply);
  reply.clear_more();
  return Report(read, reply.ShortDebugString());
}

std::unique_ptr<v1::Backend::Stub>
MemberStub(const v1::MemberAddress& aMember)
{
  return v1::Backend::NewStub(
    grpc::CreateChannel(aMember.address(), grpc::InsecureChannelCredentials()));
}

/** Raises the term and gives the member its role. @return whether the member agreed */
bool
Lead(std::uint64_t aTerm,
     const v1::MemberAddress& aPrimary,
     const v1::MemberAddress& aMember)
{
  const auto stub = MemberStub(aMember);
  const bool leads = aMember.member() == aPrimary.member();
  grpc::ClientContext raiseContext;
  v1::RaiseTermRequest raise;
  raise.set_term(aTerm);
  raise.set_keeper("standin-faults");
  v1::RaiseTermReply raised;
  if (!stub->RaiseTerm(&raiseContext, raise, &raised).ok() || !raised.granted()) {
    return false;
  }
  grpc::ClientContext context;
  if (leads) {
    v1::PromoteRequest promote;
    promote.set_term(aTerm);
    promote.set_keeper(raise.keeper());
    v1::PromoteReply reply;
    return stub->Promote(&context, promote, &reply).ok() && reply.promoted();
  }
  v1::FollowRequest follow;
  follow.set_term(aTerm);
  *follow.mutable_primary() = aPrimary;
  v1::FollowReply reply;
  return stub->Follow(&context, follow, &reply).ok() && reply.following();
}

int
LeadGroup(const std::vector<std::string>& aWords)
{
  v1::MemberAddress primary;
  std::vector<v1::MemberAddress> members;
  for (std::size_t at = 3; at < aWords.size(); ++at) {
    const std::size_t equals = aWords[at].find('=');
    v1::MemberAddress& member = members.emplace_back();
    member.set_member(aWords[at].substr(0, equals));
    member.set_address(aWords[at].substr(equals + 1));
    if (member.member() == aWords[2]) {
      primary = member;
    }
  }
  const std::uint64_t term = std::strtoull(aWords[1].c_str(), nullptr, 10);
  if (primary.address().empty() || term == 0) {
    fmt::print(stderr, "{}\n", kUsage);
    return 2;
  }
  for (const v1::MemberAddress& member : members) {
    if (!Lead(term, primary, member)) {
      fmt::print(stderr, "{} refuses term {}\n", member.member(), term);
      return 1;
    }
  }
  return 0;
}

} // namespace

int
main(int aArgc, char** aArgv)
{
  gflags::SetUsageMessage(kUsage);
  gflags::ParseCommandLineFlags(&aArgc, &aArgv, true);
  const std::vector<std::string> words(aArgv + 1, aArgv + aArgc);
  if (words.size() > 3 && words[0] == "lead") {
    return LeadGroup(words);
  }
  if (FLAGS_target.empty() || words.empty()) {
    fmt::print(stderr, "{}\n", kUsage);
    return 2;
  }
  Client client(FLAGS_target);
  if (words[0] == "set") {
    return Set(client, { words.begin() + 1, words.end() });
  }
  if (words[0] == "clear") {
    return Report(client.Set({}), {});
  }
  if (words[0] == "show") {
    v1::FaultSettings settings;
    const grpc::Status read = client.Show(settings);
    return Report(read, "faults: " + settings.ShortDebugString());
  }
  if (words[0] == "status") {
    return PrintStatus(client);
  }
  if (words[0] == "log") {
    return PrintLog(client);
  }
  fmt::print(stderr, "{}\n", kUsage);
  return 2;
}
