#include "experiment/memberlogs.h"

#include "standin.grpc.pb.h"

#include <fmt/core.h>

#include <limits>
#include <memory>
#include <optional>
#include <thread>
#include <utility>

#include <grpcpp/create_channel.h>
#include <grpcpp/security/credentials.h>

namespace papayaspindle::experiment {

namespace {

constexpr std::chrono::seconds kCallTimeout{ 5 };
constexpr std::chrono::milliseconds kRetryPause{ 100 };
constexpr std::uint32_t kPage = 2000;

using Log = std::vector<v1::LogEntry>;

std::unique_ptr<v1::Faults::Stub>
Connect(const std::string& aAddress)
{
  grpc::ChannelArguments arguments;
  arguments.SetMaxReceiveMessageSize(-1);
  return v1::Faults::NewStub(grpc::CreateCustomChannel(
    "ipv4:" + aAddress, grpc::InsecureChannelCredentials(), arguments));
}

std::optional<v1::ReadLogReply>
ReadPage(v1::Faults::Stub& aStub, std::uint64_t aAfterIndex)
{
  grpc::ClientContext context;
  context.set_deadline(std::chrono::system_clock::now() + kCallTimeout);
  v1::ReadLogRequest request;
  request.set_after_index(aAfterIndex);
  request.set_limit(kPage);
  v1::ReadLogReply reply;
  if (!aStub.ReadLog(&context, request, &reply).ok()) {
    return std::nullopt;
  }
  return reply;
}

/** @return the whole log; nothing when the member went away or changed its term */
std::optional<Log>
ReadLog(v1::Faults::Stub& aStub, std::uint64_t aTerm)
{
  Log log;
  for (;;) {
    const auto page = ReadPage(aStub, log.size());
    if (!page.has_value() || page->status().term() != aTerm) {
      return std::nullopt;
    }
    log.insert(log.end(), page->entries().begin(), page->entries().end());
    if (!page->more()) {
      return log;
    }
  }
}

/** @return the log of the primary with the highest term, or nothing for now */
std::optional<Log>
ReadPrimary(const std::vector<std::string>& aAddresses)
{
  std::unique_ptr<v1::Faults::Stub> primary;
  std::uint64_t primaryTerm = 0;
  std::uint64_t highestTerm = 0;
  for (const std::string& address : aAddresses) {
    auto stub = Connect(address);
    const auto page = ReadPage(*stub, std::numeric_limits<std::uint64_t>::max());
    if (!page.has_value()) {
      continue;
    }
    highestTerm = std::max<std::uint64_t>(highestTerm, page->status().term());
    if (page->status().role() == v1::MEMBER_ROLE_PRIMARY &&
        page->status().term() > primaryTerm) {
      primary = std::move(stub);
      primaryTerm = page->status().term();
    }
  }
  if (primary == nullptr || primaryTerm != highestTerm) {
    return std::nullopt;
  }
  return ReadLog(*primary, primaryTerm);
}

} // namespace

Result<std::map<GroupId, Log>>
ReadPrimaryLogs(const MemberAddresses& aMembers, std::chrono::milliseconds aPatience)
{
  const TimePoint end = Clock::now() + aPatience;
  std::map<GroupId, Log> logs;
  for (const auto& [group, addresses] : aMembers) {
    std::optional<Log> log = ReadPrimary(addresses);
    while (!log.has_value() && Clock::now() < end) {
      std::this_thread::sleep_for(kRetryPause);
      log = ReadPrimary(addresses);
    }
    if (!log.has_value()) {
      return Error{ ErrorKind::NoPrimary,
                    fmt::format("group {} has no primary to check", group.Text()) };
    }
    logs[group] = *std::move(log);
  }
  return logs;
}

} // namespace papayaspindle::experiment
