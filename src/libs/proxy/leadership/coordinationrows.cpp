#include "proxy/leadership/coordinationrows.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <vector>

namespace papayaspindle::proxy {

namespace {

constexpr std::string_view kLeadershipPrefix = "leadership/";
constexpr std::string_view kOpinionPrefix = "opinion/";
/** Words of the states, in the order of LeadershipState. */
constexpr std::array<std::string_view, 4> kStateWords{ "promotion",
                                                       "calling",
                                                       "settled",
                                                       "reservation" };
constexpr std::size_t kRowWords = 5;
constexpr std::size_t kFewestRowWords = 3;

std::vector<std::string_view>
Words(std::string_view aText)
{
  std::vector<std::string_view> words;
  while (!aText.empty()) {
    const std::size_t blank = aText.find(' ');
    words.push_back(aText.substr(0, blank));
    aText =
      blank == std::string_view::npos ? std::string_view() : aText.substr(blank + 1);
  }
  return words;
}

} // namespace

std::string
LeadershipKey(std::string_view aGroup)
{
  return fmt::format("{}{}", kLeadershipPrefix, aGroup);
}

std::string
OpinionKey(std::string_view aGroup, std::string_view aInstance)
{
  return fmt::format("{}{}/{}", kOpinionPrefix, aGroup, aInstance);
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
GroupOfOpinion(std::string_view aKey)
{
  if (!aKey.starts_with(kOpinionPrefix)) {
    return std::nullopt;
  }
  const std::string_view rest = aKey.substr(kOpinionPrefix.size());
  return rest.substr(0, rest.find('/'));
}

std::string
Encode(const LeadershipRow& aRow)
{
  return fmt::format("{} {} {} {} {}",
                     aRow.mToken,
                     aRow.mHolder,
                     aRow.mMember,
                     kStateWords[static_cast<std::size_t>(aRow.mState)],
                     aRow.mLeader);
}

std::string
Encode(const PrimaryOpinion& aRow)
{
  return fmt::format("{} {}", aRow.mIsAlive ? "alive" : "down", aRow.mMember);
}

std::optional<LeadershipRow>
DecodeLeadership(std::string_view aText)
{
  const std::vector<std::string_view> words = Words(aText);
  // Rows of older versions have no leader, and the oldest ones no state.
  if (words.size() < kFewestRowWords || words.size() > kRowWords) {
    return std::nullopt;
  }
  LeadershipRow row;
  const char* end = words[0].data() + words[0].size();
  const auto parsed = std::from_chars(words[0].data(), end, row.mToken);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  row.mHolder = words[1];
  row.mMember = words[2];
  if (words.size() > kFewestRowWords) {
    const auto state = std::find(kStateWords.begin(), kStateWords.end(), words[3]);
    if (state == kStateWords.end()) {
      return std::nullopt;
    }
    row.mState = static_cast<LeadershipState>(std::distance(kStateWords.begin(), state));
  }
  if (words.size() == kRowWords) {
    row.mLeader = words[4];
  }
  return row;
}

std::optional<PrimaryOpinion>
DecodeOpinion(std::string_view aText)
{
  const std::vector<std::string_view> words = Words(aText);
  if (words.size() != 2 || (words[0] != "alive" && words[0] != "down")) {
    return std::nullopt;
  }
  return PrimaryOpinion{ std::string(words[1]), words[0] == "alive" };
}

} // namespace papayaspindle::proxy
