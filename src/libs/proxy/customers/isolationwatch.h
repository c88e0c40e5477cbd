#pragma once

#include "core/timetypes.h"
#include "proxy/customers/limitertimes.h"
#include "proxy/hometable.h"
#include "proxy/instanceregistry.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace papayaspindle::proxy {

/**
 * Determines whether the other instances may have replaced this instance as a limiter
 * without its knowledge.
 *
 * They drop an instance whose row doesn't change. An instance that can't write its row
 * tells a store outage for all, during which none is dropped, from its own isolation by
 * the answers of other instances: it is in contact while instances in more than half of
 * the availability zones answer, counting its own zone, or in a single zone any other
 * instance.
 */
class IsolationWatch
{
public:
  IsolationWatch(std::string aInstance, std::string aZone, TimePoint aStartedAt);

  /** Replaces the list of live instances, which includes this one. */
  void SetInstances(std::span<const RegisteredInstance> aInstances, TimePoint aNow);
  /** Handles the state of this instance's row; called often, also if it has not changed.
   */
  void OnOwnRow(const ConfirmedRow& aRow, TimePoint aNow);
  /** Handles that another instance has answered. */
  void OnPeerAnswered(std::string_view aInstance, TimePoint aNow);
  /** @return instances to ping, one for each availability zone that has been silent; also
   * to be called while other messages are exchanged */
  std::vector<std::string> PeersToPing(TimePoint aNow);

  /** @return whether a successor may be granting this instance's parts */
  [[nodiscard]] bool MayBeReplaced(TimePoint aNow) const;

private:
  struct Zone
  {
    /** Instances of the zone other than this one. */
    std::vector<std::string> mInstances;
    std::size_t mNextPing = 0;
    TimePoint mPingedAt;
    TimePoint mAnsweredAt;
  };

  /** @return when this instance was last in contact with the others */
  [[nodiscard]] TimePoint LastContact(TimePoint aNow) const;
  /** @return whether the row may have expired and neither the store nor the other
   * instances have shown in time that this instance is not isolated */
  [[nodiscard]] bool LacksContact(TimePoint aNow) const;

  std::string mInstance;
  std::string mZone;
  /** Availability zones with other instances. */
  std::map<std::string, Zone, std::less<>> mZones;
  std::map<std::string, std::string, std::less<>> mZoneOf;
  /** When contact with the other instances was last restored after a long silence. */
  std::optional<TimePoint> mContactRestoredAt;
  Duration mListSpread = kMinListSpread;
  /** Until when a rewritten row keeps the successor from granting. */
  TimePoint mRowTrustedUntil;
  TimePoint mRowWrittenAt;
  /** When the row was rewritten after this instance had lacked contact. */
  std::optional<TimePoint> mRejoinedAt;
};

} // namespace papayaspindle::proxy
