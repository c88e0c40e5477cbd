#include "ctl/groupchange.h"

#include <Poco/StringTokenizer.h>
#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <vector>

namespace papayaspindle {

namespace {

std::vector<std::string>
Parts(const std::string& aText)
{
  using Tokenizer = Poco::StringTokenizer;
  const Tokenizer tokens(aText, ",", Tokenizer::TOK_TRIM | Tokenizer::TOK_IGNORE_EMPTY);
  return { tokens.begin(), tokens.end() };
}

std::optional<std::string>
SetMembers(const std::string& aText, v1::GroupSettings& aSettings)
{
  aSettings.clear_members();
  for (const std::string& part : Parts(aText)) {
    const std::size_t equals = part.find('=');
    const std::size_t at = part.rfind('@');
    if (equals == std::string::npos || at == std::string::npos || at < equals) {
      return fmt::format("--members: \"{}\" is not NAME=IP:PORT@ZONE", part);
    }
    v1::MemberSettings* member = aSettings.add_members();
    member->set_member(part.substr(0, equals));
    member->set_address(part.substr(equals + 1, at - equals - 1));
    member->set_availability_zone(part.substr(at + 1));
  }
  return std::nullopt;
}

std::optional<std::string>
SetLeaving(const std::string& aText, v1::GroupSettings& aSettings)
{
  for (v1::MemberSettings& member : *aSettings.mutable_members()) {
    member.set_leaving(false);
  }
  for (const std::string& name : Parts(aText)) {
    auto* members = aSettings.mutable_members();
    const auto found = std::find_if(
      members->begin(), members->end(), [&](const v1::MemberSettings& aMember) {
        return aMember.member() == name;
      });
    if (found == members->end()) {
      return fmt::format("--leaving: \"{}\" is no member of the group", name);
    }
    found->set_leaving(true);
  }
  return std::nullopt;
}

std::optional<std::string>
SetStaleness(const std::string& aText, v1::GroupSettings& aSettings)
{
  aSettings.clear_staleness_rules();
  for (const std::string& part : Parts(aText)) {
    const std::size_t equals = part.find('=');
    std::uint64_t milliseconds = 0;
    const char* end = part.data() + part.size();
    const bool named = equals != std::string::npos && equals > 0;
    const auto parsed = named
                          ? std::from_chars(part.data() + equals + 1, end, milliseconds)
                          : std::from_chars_result{ end, std::errc::invalid_argument };
    if (parsed.ec != std::errc() || parsed.ptr != end) {
      return fmt::format("--staleness: \"{}\" is not NAME=MILLISECONDS", part);
    }
    v1::StalenessRule* rule = aSettings.add_staleness_rules();
    rule->set_name(part.substr(0, equals));
    rule->set_max_staleness_ms(milliseconds);
  }
  return std::nullopt;
}

} // namespace

std::optional<std::string>
ApplyEdit(const GroupEdit& aEdit, v1::GroupSettings& aSettings)
{
  std::optional<std::string> wrong;
  if (aEdit.mMembers) {
    wrong = SetMembers(*aEdit.mMembers, aSettings);
  }
  if (!wrong && aEdit.mLeaving) {
    wrong = SetLeaving(*aEdit.mLeaving, aSettings);
  }
  if (!wrong && aEdit.mStaleness) {
    wrong = SetStaleness(*aEdit.mStaleness, aSettings);
  }
  if (aEdit.mSlots) {
    aSettings.set_slots(*aEdit.mSlots);
  }
  if (aEdit.mConnectionLimit) {
    aSettings.set_connection_limit(*aEdit.mConnectionLimit);
  }
  return wrong;
}

} // namespace papayaspindle
