#include "proxy/coordinationrows.h"

#include <fmt/format.h>

#include <charconv>
#include <vector>

namespace papayaspindle::proxy {

namespace {

constexpr std::string_view kLeadershipPrefix = "leadership/";
constexpr std::string_view kOpinionPrefix = "opinion/";
constexpr std::string_view kPromotion = "promotion";
constexpr std::string_view kReservation = "reservation";

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
  return fmt::format("{} {} {} {}",
                     aRow.mToken,
                     aRow.mHolder,
                     aRow.mMember,
                     aRow.mPurpose == LeadershipPurpose::Promotion ? kPromotion
                                                                   : kReservation);
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
  LeadershipRow row;
  // Rows of versions without reservations have three words.
  const std::string_view purpose = words.size() == 4 ? words[3] : kPromotion;
  if (words.size() < 3 || words.size() > 4 ||
      (purpose != kPromotion && purpose != kReservation)) {
    return std::nullopt;
  }
  const char* end = words[0].data() + words[0].size();
  const auto parsed = std::from_chars(words[0].data(), end, row.mToken);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  row.mHolder = words[1];
  row.mMember = words[2];
  row.mPurpose =
    purpose == kPromotion ? LeadershipPurpose::Promotion : LeadershipPurpose::Reservation;
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
