#pragma once

#include "core/timetypes.h"
#include "observe/log.h"
#include "proxy/hometable.h"

#include <functional>
#include <initializer_list>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace papayaspindle::proxy {

struct ZoneReachabilityHooks
{
  /** Pings an instance; opens a connection first if there is none. */
  std::function<void(const std::string& aInstance)> mPing;
  /** @return when a member in an availability zone last answered this instance; the epoch
   * when members provide no information about the network path */
  std::function<TimePoint(std::string_view aZone)> mLastMemberReplyAt;
  std::function<void(LogLevel, std::string_view aEvent, std::initializer_list<LogField>)>
    mLog;
};

/**
 * Detects whether this instance is partitioned from most availability zones.
 *
 * The instance continuously pings one instance of every other zone. If that instance
 * stops answering, further instances of its zone (witnesses) are pinged before the zone
 * counts as unreachable, so the failure of one instance is not mistaken for a partition.
 * Not thread-safe: all calls must come from one thread.
 */
class ZoneReachability
{
public:
  ZoneReachability(std::string aInstance,
                   std::string aZone,
                   ZoneReachabilityHooks aHooks);

  /** Replaces the list of live instances. */
  void SetInstances(std::span<const RegisteredInstance> aInstances);
  /** Handles that an instance has answered or accepted a connection. */
  void OnInstanceReachable(const std::string& aInstance, TimePoint aNow);
  /** Handles that the connection to an instance has ended or could not be opened. */
  void OnConnectionLost(const std::string& aInstance, TimePoint aNow);
  void OnTimer(TimePoint aNow);
  /** @return when OnTimer is due */
  [[nodiscard]] TimePoint NextTimer() const { return mNextCheck; }

  /** @return since when this instance has reached fewer than half of the availability
   * zones, counting its own; nothing while it reaches more, and always nothing with two
   * zones, because neither side of a partition is then the smaller one */
  [[nodiscard]] std::optional<TimePoint> CutOffSince() const { return mCutOffSince; }

private:
  struct Zone
  {
    /** Instances of the zone, ordered by a hash that differs between pinging instances so
     * that pings are spread. */
    std::vector<std::string> mInstances;
    /** Index in mInstances of the instance that is pinged. */
    std::size_t mPingTarget = 0;
    /** When an instance of the zone last answered or accepted a connection; empty if none
     * has since this process started. */
    std::optional<TimePoint> mLastReachedAt;
    /** When the oldest unanswered ping was sent. */
    std::optional<TimePoint> mPingUnansweredSince;
    TimePoint mPingedAt;
    /** When the current round of witnesses was pinged; empty while the zone is not
     * suspected. */
    std::optional<TimePoint> mSuspectedSince;
    bool mIsUnreachable = false;
  };

  void Ping(Zone& aZone, TimePoint aNow);
  /** Pings several witnesses of a zone at once. */
  void PingWitnesses(Zone& aZone, TimePoint aNow);
  void Check(const std::string& aName, Zone& aZone, TimePoint aNow);
  void UpdateCutOff(TimePoint aNow);

  std::string mInstance;
  std::string mZone;
  ZoneReachabilityHooks mHooks;
  std::map<std::string, Zone, std::less<>> mZones;
  std::map<std::string, std::string, std::less<>> mZoneOf;
  std::optional<TimePoint> mCutOffSince;
  TimePoint mNextCheck;
};

} // namespace papayaspindle::proxy
