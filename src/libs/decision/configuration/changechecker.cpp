#include "decision/configuration/changechecker.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <set>
#include <string_view>

namespace papayaspindle {

namespace {

using Violations = std::vector<std::string>;

constexpr std::size_t kMaxNameBytes = 64;
constexpr std::size_t kMaxRequestIdBytes = 128;
constexpr std::size_t kMaxMembers = 15;
constexpr std::size_t kMaxRules = 32;
constexpr std::uint32_t kMaxSlots = 1000;
// Half of the limit is reserved for floors, and each of at least two homes needs a
// floor of one connection.
constexpr std::uint32_t kMinConnections = 4;
// A member must have another connection when one of them becomes unusable.
constexpr std::uint32_t kMinConnectionsPerMember = 2;
constexpr std::uint32_t kMaxConnections = 100000;
constexpr std::chrono::milliseconds kMaxStaleness = std::chrono::hours(24 * 7);

bool
IsName(std::string_view aText)
{
  const auto allowed = [](char aCharacter) {
    return (aCharacter >= 'a' && aCharacter <= 'z') ||
           (aCharacter >= 'A' && aCharacter <= 'Z') ||
           (aCharacter >= '0' && aCharacter <= '9') || aCharacter == '-' ||
           aCharacter == '_' || aCharacter == '.';
  };
  return !aText.empty() && aText.size() <= kMaxNameBytes &&
         std::all_of(aText.begin(), aText.end(), allowed);
}

void
CheckName(std::string_view aKind, std::string_view aName, Violations& aViolations)
{
  if (!IsName(aName)) {
    aViolations.push_back(
      fmt::format("the {} \"{}\" is not 1 to {} letters, digits, '-', '_' or '.'",
                  aKind,
                  aName.substr(0, kMaxNameBytes),
                  kMaxNameBytes));
  }
}

bool
IsNumber(std::string_view aText, unsigned aMin, unsigned aMax)
{
  unsigned value = 0;
  const char* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, value);
  return parsed.ec == std::errc() && parsed.ptr == end && value >= aMin && value <= aMax;
}

bool
IsIp4(std::string_view aText)
{
  for (int i = 0; i < 4; ++i) {
    const std::size_t dot = i < 3 ? aText.find('.') : aText.size();
    if (dot == std::string_view::npos || !IsNumber(aText.substr(0, dot), 0, 255)) {
      return false;
    }
    aText.remove_prefix(std::min(dot + 1, aText.size()));
  }
  return aText.empty();
}

bool
IsIp6(std::string_view aText)
{
  const auto allowed = [](char aCharacter) {
    return std::string_view("0123456789abcdefABCDEF:.").find(aCharacter) !=
           std::string_view::npos;
  };
  return aText.find(':') != std::string_view::npos &&
         std::all_of(aText.begin(), aText.end(), allowed);
}

bool
IsAddress(std::string_view aText)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos || !IsNumber(aText.substr(colon + 1), 1, 65535)) {
    return false;
  }
  const std::string_view host = aText.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    return IsIp6(host.substr(1, host.size() - 2));
  }
  return IsIp4(host);
}

void
CheckMember(const MemberSettings& aMember, Violations& aViolations)
{
  CheckName("member name", aMember.mMember.Text(), aViolations);
  if (!IsAddress(aMember.mAddress)) {
    aViolations.push_back(
      fmt::format("the address \"{}\" of member \"{}\" is not \"ip:port\"",
                  aMember.mAddress,
                  aMember.mMember.Text()));
  }
  if (aMember.mAvailabilityZone.IsEmpty()) {
    aViolations.push_back(
      fmt::format("member \"{}\" has no availability zone", aMember.mMember.Text()));
  }
}

void
CheckMembers(const GroupSettings& aSettings, Violations& aViolations)
{
  const std::size_t count = aSettings.mMembers.size();
  if (count < 1 || count > kMaxMembers) {
    aViolations.push_back(
      fmt::format("the group has {} members; it needs 1 to {}", count, kMaxMembers));
  }
  std::set<MemberId> names;
  std::set<std::string_view> addresses;
  bool hasStayingMember = false;
  for (const MemberSettings& member : aSettings.mMembers) {
    CheckMember(member, aViolations);
    if (!names.insert(member.mMember).second) {
      aViolations.push_back(
        fmt::format("member \"{}\" is named twice", member.mMember.Text()));
    }
    if (!addresses.insert(member.mAddress).second) {
      aViolations.push_back(
        fmt::format("two members have the address \"{}\"", member.mAddress));
    }
    hasStayingMember = hasStayingMember || !member.mLeaving;
  }
  if (count > 0 && !hasStayingMember) {
    aViolations.emplace_back("every member is leaving; one at least must stay");
  }
}

void
CheckLimits(const GroupSettings& aSettings, Violations& aViolations)
{
  if (aSettings.mSlots < 1 || aSettings.mSlots > kMaxSlots) {
    aViolations.push_back(
      fmt::format("slots is {}; it must be from 1 to {}", aSettings.mSlots, kMaxSlots));
  }
  const auto members = static_cast<std::uint32_t>(aSettings.mMembers.size());
  const std::uint32_t minLimit =
    std::max(kMinConnections, kMinConnectionsPerMember * members);
  if (aSettings.mConnectionLimit < minLimit ||
      aSettings.mConnectionLimit > kMaxConnections) {
    aViolations.push_back(fmt::format(
      "the connection limit is {}; it must be from {} ({} for each member, {} "
      "at least) to {}",
      aSettings.mConnectionLimit,
      minLimit,
      kMinConnectionsPerMember,
      kMinConnections,
      kMaxConnections));
  }
}

void
CheckRules(const GroupSettings& aSettings, Violations& aViolations)
{
  if (aSettings.mStalenessRules.size() > kMaxRules) {
    aViolations.push_back(fmt::format("the group has {} staleness rules; it may have {}",
                                      aSettings.mStalenessRules.size(),
                                      kMaxRules));
  }
  std::set<std::string_view> names;
  for (const StalenessRule& rule : aSettings.mStalenessRules) {
    CheckName("staleness rule", rule.mName, aViolations);
    if (!names.insert(rule.mName).second) {
      aViolations.push_back(
        fmt::format("staleness rule \"{}\" is named twice", rule.mName));
    }
    if (rule.mMaxStaleness.count() < 0 || rule.mMaxStaleness > kMaxStaleness) {
      aViolations.push_back(
        fmt::format("staleness rule \"{}\" allows {} ms; it must be from 0 to {} ms",
                    rule.mName,
                    rule.mMaxStaleness.count(),
                    kMaxStaleness.count()));
    }
  }
}

} // namespace

std::vector<std::string>
CheckRequest(const ChangeRequest& aRequest, bool aCreate)
{
  Violations violations;
  const std::size_t idBytes = aRequest.mRequest.Text().size();
  if (idBytes < 1 || idBytes > kMaxRequestIdBytes) {
    violations.push_back(fmt::format(
      "the request id has {} bytes; it needs 1 to {}", idBytes, kMaxRequestIdBytes));
  }
  if (aCreate && aRequest.mExpectedRevision != 0) {
    violations.emplace_back("the expected revision of a group to be created is not 0");
  }
  if (!aCreate && aRequest.mExpectedRevision == 0) {
    violations.emplace_back("a change must name the group's expected revision");
  }
  return violations;
}

std::vector<std::string>
CheckSettings(const GroupSettings& aSettings)
{
  Violations violations;
  CheckName("group name", aSettings.mGroup.Text(), violations);
  CheckMembers(aSettings, violations);
  CheckLimits(aSettings, violations);
  CheckRules(aSettings, violations);
  return violations;
}

} // namespace papayaspindle
