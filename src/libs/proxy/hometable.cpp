#include "proxy/hometable.h"

#include "core/stablehash.h"

#include <algorithm>
#include <tuple>

namespace papayaspindle::proxy {

namespace {

// Time for which a lost home is avoided, doubling with each further loss up to the
// maximum: in large deployments, a failed instance stays listed for minutes.
constexpr Duration kAvoidanceMin = std::chrono::seconds(1);
constexpr Duration kAvoidanceMax = std::chrono::seconds(8);

} // namespace

HomeTable::HomeTable(std::string aInstance, std::string aZone, std::size_t aHomes)
  : mInstance(std::move(aInstance))
  , mZone(std::move(aZone))
  , mHomesPerGroup(aHomes)
  , mRanking([this](const InstanceInfo& aInfo) {
    const auto found = mInstances.find(aInfo.mInstance.Text());
    return found == mInstances.end() ? 1.0 : found->second.mWeight;
  })
{
}

void
HomeTable::SetInstances(std::span<const RegisteredInstance> aInstances)
{
  mInstances.clear();
  mHomes.clear();
  for (const RegisteredInstance& instance : aInstances) {
    mInstances[instance.mInstance] = instance;
  }
}

const std::vector<std::string>&
HomeTable::HomesOf(std::string_view aGroup) const
{
  const auto found = mHomes.find(aGroup);
  if (found != mHomes.end()) {
    return found->second;
  }
  GroupSettings group;
  group.mGroup = GroupId(std::string(aGroup));
  std::set<std::string> zones;
  std::vector<InstanceInfo> live;
  for (const auto& [name, instance] : mInstances) {
    InstanceInfo info;
    info.mInstance = InstanceId(name);
    info.mAvailabilityZone = AvailabilityZone(instance.mZone);
    info.mLiveness = instance.mIsLeaving ? Liveness::Leaving : Liveness::Alive;
    live.push_back(std::move(info));
    if (zones.insert(instance.mZone).second) {
      group.mMembers.push_back(
        { MemberId(instance.mZone), "", AvailabilityZone(instance.mZone), false });
    }
  }
  std::vector<std::string> homes;
  for (const InstanceId& home : mRanking.Rank(group, live, mHomesPerGroup)) {
    homes.push_back(home.Text());
  }
  return mHomes.emplace(std::string(aGroup), std::move(homes)).first->second;
}

bool
HomeTable::IsHome(std::string_view aGroup) const
{
  return IsHome(aGroup, mInstance);
}

bool
HomeTable::IsHome(std::string_view aGroup, const std::string& aInstance) const
{
  const std::vector<std::string>& homes = HomesOf(aGroup);
  return std::find(homes.begin(), homes.end(), aInstance) != homes.end();
}

std::uint32_t
HomeTable::HomeCount(std::string_view aGroup) const
{
  return static_cast<std::uint32_t>(std::max<std::size_t>(HomesOf(aGroup).size(), 1));
}

bool
HomeTable::IsHomeOfAny(std::span<const std::string> aGroups) const
{
  return std::any_of(aGroups.begin(), aGroups.end(), [&](const std::string& aGroup) {
    return IsHome(aGroup);
  });
}

bool
HomeTable::IsHomeOfAll(std::span<const std::string> aGroups) const
{
  return std::all_of(aGroups.begin(), aGroups.end(), [&](const std::string& aGroup) {
    return IsHome(aGroup);
  });
}

std::optional<std::string>
HomeTable::PickHome(std::string_view aGroup,
                    const std::set<std::string>& aExcluded,
                    TimePoint aNow) const
{
  std::optional<std::string> chosen;
  std::pair<int, std::uint64_t> chosenRank;
  for (const std::string& home : HomesOf(aGroup)) {
    if (IsExcluded(home, aExcluded)) {
      continue;
    }
    const auto rank = RankOf(home, aGroup, aNow);
    if (!chosen || rank < chosenRank) {
      chosen = home;
      chosenRank = rank;
    }
  }
  return chosen;
}

std::vector<std::string>
HomeTable::HomesByPreference(std::string_view aGroup, TimePoint aNow) const
{
  std::vector<std::pair<std::pair<int, std::uint64_t>, std::string>> ranked;
  for (const std::string& home : HomesOf(aGroup)) {
    ranked.emplace_back(RankOf(home, aGroup, aNow), home);
  }
  std::sort(ranked.begin(), ranked.end());
  std::vector<std::string> homes;
  for (auto& [rank, home] : ranked) {
    homes.push_back(std::move(home));
  }
  return homes;
}

std::pair<int, std::uint64_t>
HomeTable::RankOf(const std::string& aHome, std::string_view aGroup, TimePoint aNow) const
{
  // The hash spreads the instances of one zone over the homes in other zones.
  return { (IsAvoided(aHome, aNow) ? 2 : 0) + (IsNear(aHome) ? 0 : 1),
           StableHash({ mInstance, aHome, aGroup }) };
}

bool
HomeTable::IsAvoided(const std::string& aHome, TimePoint aNow) const
{
  const auto avoided = mAvoided.find(aHome);
  return mUnresponsive.contains(aHome) ||
         (avoided != mAvoided.end() && avoided->second.mUntil > aNow);
}

bool
HomeTable::IsExcluded(const std::string& aHome,
                      const std::set<std::string>& aExcluded) const
{
  // A statement that has already failed elsewhere would only wait at an unresponsive
  // home.
  return aExcluded.contains(aHome) ||
         (!aExcluded.empty() && mUnresponsive.contains(aHome));
}

bool
HomeTable::IsNear(const std::string& aInstance) const
{
  const auto instance = mInstances.find(aInstance);
  return instance != mInstances.end() && instance->second.mZone == mZone;
}

std::optional<std::string>
HomeTable::PickCustomerHome(std::string_view aGroup,
                            std::string_view aCustomer,
                            std::uint32_t aSpread,
                            const std::set<std::string>& aExcluded,
                            TimePoint aNow) const
{
  std::vector<std::pair<std::uint64_t, std::string_view>> ordered;
  for (const std::string& home : HomesOf(aGroup)) {
    ordered.emplace_back(StableHash({ aGroup, aCustomer, home }), home);
  }
  std::sort(ordered.begin(), ordered.end());
  std::optional<std::string> chosen;
  std::tuple<bool, bool, bool, std::uint64_t> chosenRank;
  for (std::size_t place = 0; place < ordered.size(); place++) {
    const std::string home(ordered[place].second);
    if (IsExcluded(home, aExcluded)) {
      continue;
    }
    const bool isSpare = place >= aSpread;
    // Spares are taken in the customer's order, so that the instances of a zone agree on
    // the next. The zone comes first: only its own homes remain to a zone that is cut
    // off.
    const std::uint64_t order = isSpare ? place : StableHash({ mInstance, home, aGroup });
    const std::tuple rank{ IsAvoided(home, aNow), isSpare, !IsNear(home), order };
    if (!chosen || rank < chosenRank) {
      chosen = home;
      chosenRank = rank;
    }
  }
  return chosen;
}

std::optional<std::string>
HomeTable::ZoneOf(std::string_view aInstance) const
{
  const auto found = mInstances.find(aInstance);
  return found == mInstances.end() ? std::nullopt : std::optional(found->second.mZone);
}

std::optional<std::string>
HomeTable::AddressOf(std::string_view aInstance) const
{
  const auto found = mInstances.find(aInstance);
  return found == mInstances.end() ? std::nullopt
                                   : std::optional(found->second.mPeerAddress);
}

void
HomeTable::Avoid(const std::string& aInstance, TimePoint aNow)
{
  Avoidance& avoidance = mAvoided[aInstance];
  if (avoidance.mUntil > aNow) {
    // Failures of statements that were sent before the home was avoided are no new
    // evidence.
    return;
  }
  avoidance.mPause = std::clamp(avoidance.mPause * 2, kAvoidanceMin, kAvoidanceMax);
  avoidance.mUntil = aNow + avoidance.mPause;
}

void
HomeTable::OnAnswer(const std::string& aInstance)
{
  mAvoided.erase(aInstance);
}

void
HomeTable::SetResponsive(const std::string& aInstance, bool aIsResponsive)
{
  if (aIsResponsive) {
    mUnresponsive.erase(aInstance);
  } else {
    mUnresponsive.insert(aInstance);
  }
}

} // namespace papayaspindle::proxy
