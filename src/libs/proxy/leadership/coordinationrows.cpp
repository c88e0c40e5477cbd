#include "proxy/leadership/coordinationrows.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <vector>

namespace papayaspindle::proxy {

namespace {

constexpr std::string_view kLeadershipPrefix = "leadership/";
constexpr std::string_view kSuspicionReportPrefix = "opinion/";
constexpr std::string_view kReplicaRosterPrefix = "replicas/";
/** Stored names of the states, in the order of LeadershipState. */
constexpr std::array<std::string_view, 4> kStateNames{ "promotion",
                                                       "calling",
                                                       "settled",
                                                       "reservation" };
// Later tokens are computed from the stored one and must not overflow.
constexpr std::uint64_t kMaxToken = std::uint64_t{ 1 } << 62U;
// Each incarnation of the store has this many tokens; a claim takes five.
constexpr unsigned kTokenBits = 32;
constexpr std::uint64_t kMaxIncarnation = (kMaxToken >> kTokenBits) - 1;
constexpr std::size_t kMaxRowFields = 5;
constexpr std::size_t kMinRowFields = 3;

std::vector<std::string_view>
SplitFields(std::string_view aText)
{
  std::vector<std::string_view> fields;
  while (!aText.empty()) {
    const std::size_t blank = aText.find(' ');
    fields.push_back(aText.substr(0, blank));
    aText =
      blank == std::string_view::npos ? std::string_view() : aText.substr(blank + 1);
  }
  return fields;
}

} // namespace

std::string
LeadershipKey(std::string_view aGroup)
{
  return fmt::format("{}{}", kLeadershipPrefix, aGroup);
}

std::string
SuspicionReportKey(std::string_view aGroup, std::string_view aInstance)
{
  return fmt::format("{}{}/{}", kSuspicionReportPrefix, aGroup, aInstance);
}

std::string
ReplicaRosterKey(std::string_view aGroup)
{
  return fmt::format("{}{}", kReplicaRosterPrefix, aGroup);
}

std::optional<std::string_view>
GroupOfLeadership(std::string_view aKey)
{
  if (!aKey.starts_with(kLeadershipPrefix)) {
    return std::nullopt;
  }
  return aKey.substr(kLeadershipPrefix.size());
}

std::optional<std::string_view>
GroupOfReplicaRoster(std::string_view aKey)
{
  if (!aKey.starts_with(kReplicaRosterPrefix)) {
    return std::nullopt;
  }
  return aKey.substr(kReplicaRosterPrefix.size());
}

std::optional<std::string_view>
GroupOfSuspicionReport(std::string_view aKey)
{
  if (!aKey.starts_with(kSuspicionReportPrefix)) {
    return std::nullopt;
  }
  const std::string_view rest = aKey.substr(kSuspicionReportPrefix.size());
  return rest.substr(0, rest.find('/'));
}

std::uint64_t
FirstTokenBound(std::uint64_t aIncarnation)
{
  // Above the limit, a row with the next token couldn't be decoded.
  return std::min(aIncarnation, kMaxIncarnation) << kTokenBits;
}

std::string
Encode(const LeadershipRow& aRow)
{
  return fmt::format("{} {} {} {} {}",
                     aRow.mToken,
                     aRow.mHolder,
                     aRow.mMember,
                     kStateNames[static_cast<std::size_t>(aRow.mState)],
                     aRow.mLeader);
}

std::string
Encode(const SuspicionReport& aRow)
{
  return fmt::format("{} {}", aRow.mIsAlive ? "alive" : "down", aRow.mMember);
}

std::optional<LeadershipRow>
DecodeLeadership(std::string_view aText)
{
  const std::vector<std::string_view> fields = SplitFields(aText);
  // Rows of older versions lack the leader, and those of the oldest versions the state.
  if (fields.size() < kMinRowFields || fields.size() > kMaxRowFields) {
    return std::nullopt;
  }
  LeadershipRow row;
  const char* end = fields[0].data() + fields[0].size();
  const auto parsed = std::from_chars(fields[0].data(), end, row.mToken);
  if (parsed.ec != std::errc() || parsed.ptr != end || row.mToken > kMaxToken) {
    return std::nullopt;
  }
  row.mHolder = fields[1];
  row.mMember = fields[2];
  if (fields.size() > kMinRowFields) {
    const auto state = std::find(kStateNames.begin(), kStateNames.end(), fields[3]);
    if (state == kStateNames.end()) {
      return std::nullopt;
    }
    row.mState = static_cast<LeadershipState>(std::distance(kStateNames.begin(), state));
  }
  if (fields.size() == kMaxRowFields) {
    row.mLeader = fields[4];
  }
  return row;
}

std::optional<SuspicionReport>
DecodeSuspicionReport(std::string_view aText)
{
  const std::vector<std::string_view> fields = SplitFields(aText);
  if (fields.size() != 2 || (fields[0] != "alive" && fields[0] != "down")) {
    return std::nullopt;
  }
  return SuspicionReport{ std::string(fields[1]), fields[0] == "alive" };
}

} // namespace papayaspindle::proxy
