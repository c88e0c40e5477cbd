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
#include <vector>

namespace papayaspindle::proxy {

/** An instance as the registry knows it. */
struct RegisteredInstance
{
  std::string mInstance;
  std::string mZone;
  /** "ip:port" for statements of other instances. */
  std::string mPeerAddress;
  /** Share of the homes; the processor share of the machine, squared. */
  double mWeight = 1;
  /** Takes no new work. */
  bool mIsLeaving = false;
};

/**
 * Which instances hold connections to the members of a group.
 *
 * Few instances all do. Where there are more, each group has some homes, chosen by
 * rendezvous hashing, and the other instances send statements to them: so members see few
 * connections, and their slots are shared by few queues.
 */
class HomeTable
{
public:
  HomeTable(std::string aInstance, std::string aZone);

  /** Takes the instances that live, this one included. */
  void SetInstances(std::span<const RegisteredInstance> aInstances);

  /** @return whether this instance holds connections to the group's members; false until
   * the instances are known */
  [[nodiscard]] bool IsHome(std::string_view aGroup) const;
  /** @return whether another instance holds connections to the group's members */
  [[nodiscard]] bool IsHome(std::string_view aGroup, const std::string& aInstance) const;
  /** @return whether the instances are known */
  [[nodiscard]] bool IsKnown() const { return !mInstances.empty(); }
  /** @return instances that hold connections to the group's members */
  [[nodiscard]] std::uint32_t HomeCount(std::string_view aGroup) const;
  /**
   * @param aExcluded homes that must not be chosen
   * @return the home to send a statement to: of the own zone if possible
   */
  [[nodiscard]] std::optional<std::string> PickHome(
    std::string_view aGroup,
    const std::set<std::string>& aExcluded,
    TimePoint aNow) const;
  /** @return zone of an instance, or nothing */
  [[nodiscard]] std::optional<std::string> ZoneOf(std::string_view aInstance) const;
  /** @return address of an instance's peer listener, or nothing */
  [[nodiscard]] std::optional<std::string> AddressOf(std::string_view aInstance) const;

  /** Leaves a home out for a while. */
  void Avoid(const std::string& aInstance, TimePoint aNow);
  /** Takes an answer of a home. */
  void OnAnswer(const std::string& aInstance);
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

  [[nodiscard]] const std::vector<std::string>& HomesOf(std::string_view aGroup) const;

  std::string mInstance;
  std::string mZone;
  HomeRanking mRanking;
  std::map<std::string, RegisteredInstance, std::less<>> mInstances;
  std::map<std::string, Avoidance> mAvoided;
  /** By group; filled when first asked for. */
  mutable std::map<std::string, std::vector<std::string>, std::less<>> mHomes;
};

} // namespace papayaspindle::proxy
