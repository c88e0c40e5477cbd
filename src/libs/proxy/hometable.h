#pragma once

#include "core/timetypes.h"
#include "decision/routing/homeranking.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace papayaspindle::proxy {

/** Registry entry of an instance. */
struct RegisteredInstance
{
  std::string mInstance;
  std::string mZone;
  /** Address ("ip:port") at which the instance receives statements from other instances.
   */
  std::string mPeerAddress;
  /** Weight in the choice of homes: the square of the instance's processor share of its
   * machine. */
  double mWeight = 1;
  /** Whether the instance takes no new work. */
  bool mIsLeaving = false;
};

/**
 * Determines which instances hold connections to the members of a database group (the
 * group's home instances, or homes).
 *
 * Rendezvous hashing chooses a few homes for each group, and the other instances forward
 * their statements to them. Members then hold few connections, and few queues share the
 * members' slots.
 */
class HomeTable
{
public:
  /** Number of a group's homes if there are enough instances. Members have few slots and
   * connections, and still count the connections of lost instances for some seconds.
   * Fewer holders share them without refusals and order waiting statements of more
   * clients. In deployments of up to four zones, each zone has at least one home; with
   * three zones, the fourth home is a spare for the loss of another. */
  static constexpr std::size_t kHomesPerGroup = 4;

  HomeTable(std::string aInstance,
            std::string aZone,
            std::size_t aHomes = kHomesPerGroup);

  /** Replaces the list of live instances, which includes this one. */
  void SetInstances(std::span<const RegisteredInstance> aInstances);

  /** @return whether this instance holds connections to the group's members; false before
   * SetInstances */
  [[nodiscard]] bool IsHome(std::string_view aGroup) const;
  /** @return whether another instance holds connections to the group's members */
  [[nodiscard]] bool IsHome(std::string_view aGroup, const std::string& aInstance) const;
  /** @return whether the list of instances has been set */
  [[nodiscard]] bool IsKnown() const { return !mInstances.empty(); }
  /** @return number of instances that hold connections to the group's members, at least 1
   */
  [[nodiscard]] std::uint32_t HomeCount(std::string_view aGroup) const;
  /**
   * @param aExcluded homes that must not be chosen
   * @return home that receives a forwarded statement, preferably in this instance's
   * availability zone; nothing when every home is excluded, or when some are and the
   * others are unresponsive
   */
  [[nodiscard]] std::optional<std::string> PickHome(
    std::string_view aGroup,
    const std::set<std::string>& aExcluded,
    TimePoint aNow) const;
  /** @return all homes of the group in the order in which PickHome prefers them */
  [[nodiscard]] std::vector<std::string> HomesByPreference(std::string_view aGroup,
                                                           TimePoint aNow) const;
  /**
   * @param aCustomer customer whose statements the home runs
   * @param aSpread number of homes that serve the customer
   * @return home, possibly this instance, that runs the customer's statements: one of the
   * first aSpread homes in an order by group and customer, preferably in this instance's
   * availability zone; another one while these are lost; nothing when every home is
   * excluded
   */
  [[nodiscard]] std::optional<std::string> PickCustomerHome(
    std::string_view aGroup,
    std::string_view aCustomer,
    std::uint32_t aSpread,
    const std::set<std::string>& aExcluded,
    TimePoint aNow) const;
  /** @return availability zone of an instance, or nothing when the instance is not listed
   */
  [[nodiscard]] std::optional<std::string> ZoneOf(std::string_view aInstance) const;
  /** @return address of an instance's peer listener, or nothing when the instance is not
   * listed */
  [[nodiscard]] std::optional<std::string> AddressOf(std::string_view aInstance) const;

  /** Makes PickHome prefer other homes for some time after the given home was lost. */
  void Avoid(const std::string& aInstance, TimePoint aNow);
  /** Ends the avoidance of a home that has answered. */
  void OnAnswer(const std::string& aInstance);
  /** Makes PickHome prefer other homes while the given home is unresponsive. */
  void SetResponsive(const std::string& aInstance, bool aIsResponsive);
  /** @return whether this instance is a home of each of the groups */
  [[nodiscard]] bool IsHomeOfAll(std::span<const std::string> aGroups) const;
  /** @return whether this instance is a home of any of the groups */
  [[nodiscard]] bool IsHomeOfAny(std::span<const std::string> aGroups) const;

private:
  struct Avoidance
  {
    TimePoint mUntil;
    Duration mPause{};
  };

  /** @return whether the home was lost lately or doesn't respond */
  [[nodiscard]] bool IsAvoided(const std::string& aHome, TimePoint aNow) const;
  /** @return whether the home must not be chosen for a statement that the excluded homes
   * have refused or lost */
  [[nodiscard]] bool IsExcluded(const std::string& aHome,
                                const std::set<std::string>& aExcluded) const;
  /** @return whether the instance is in this instance's availability zone */
  [[nodiscard]] bool IsNear(const std::string& aInstance) const;
  /** @return rank of a home in PickHome, the preferred one first */
  [[nodiscard]] std::pair<int, std::uint64_t> RankOf(const std::string& aHome,
                                                     std::string_view aGroup,
                                                     TimePoint aNow) const;
  [[nodiscard]] const std::vector<std::string>& HomesOf(std::string_view aGroup) const;

  std::string mInstance;
  std::string mZone;
  std::size_t mHomesPerGroup;
  HomeRanking mRanking;
  std::map<std::string, RegisteredInstance, std::less<>> mInstances;
  std::map<std::string, Avoidance> mAvoided;
  std::set<std::string> mUnresponsive;
  /** Homes by group; computed on first use. */
  mutable std::map<std::string, std::vector<std::string>, std::less<>> mHomes;
};

} // namespace papayaspindle::proxy
