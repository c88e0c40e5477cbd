#include "forwarding/capacitycodec.h"

#include "forward.pb.h"

#include <cmath>

namespace papayaspindle {

namespace {

// Far more statements than a member runs, and more members than a group has; larger
// numbers are a foreign message.
constexpr std::uint32_t kMaxThousandths = 100'000'000;
constexpr int kMaxMembers = 1000;
constexpr std::uint32_t kInvalidConsistency = 255;

} // namespace

std::string
EncodeCapacityReport(const proxy::CapacityReport& aReport)
{
  v1::CapacityReport message;
  message.set_home(aReport.mHome);
  message.set_group(aReport.mGroup);
  message.set_invalid_consistency(kInvalidConsistency);
  for (const auto& [id, load] : aReport.mMembers) {
    v1::MemberLoad& member = *message.add_members();
    member.set_member(id);
    member.set_average_in_flight(
      static_cast<std::uint32_t>(std::lround(load.mAverageInFlight * 1000)));
    member.set_is_slow(load.mIsSlow);
    member.set_is_uneven(load.mIsUneven);
  }
  return message.SerializeAsString();
}

std::optional<proxy::CapacityReport>
DecodeCapacityReport(const std::string& aBytes)
{
  v1::CapacityReport message;
  if (!message.ParseFromString(aBytes) || message.home().empty() ||
      message.group().empty() || message.members_size() > kMaxMembers) {
    return std::nullopt;
  }
  proxy::CapacityReport report{ message.home(), message.group(), {} };
  for (const v1::MemberLoad& member : message.members()) {
    if (member.average_in_flight() > kMaxThousandths) {
      return std::nullopt;
    }
    report.mMembers[member.member()] = { member.average_in_flight() / 1000.0,
                                         member.is_slow(),
                                         member.is_uneven() };
  }
  return report;
}

} // namespace papayaspindle
