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
  /** Asks an instance for a sign of life, over a connection that is opened if needed. */
  std::function<void(const std::string& aInstance)> mPing;
  /** @return when a member of a zone last answered this instance; the epoch where
   * members say nothing about the path */
  std::function<TimePoint(std::string_view aZone)> mMemberHeardAt;
  std::function<void(LogLevel, std::string_view aEvent, std::initializer_list<LogField>)>
    mLog;
};

/**
 * Tells whether this instance is partitioned from most availability zones.
 *
 * One instance of each other zone is pinged all the time. When it falls silent, further
 * instances of its zone are asked before the zone counts as unreachable, so a stopped
 * instance is no partition. Single-threaded.
 */
class ZoneReachability
{
public:
  ZoneReachability(std::string aInstance,
                   std::string aZone,
                   ZoneReachabilityHooks aHooks);

  /** Takes the instances that live. */
  void SetInstances(std::span<const RegisteredInstance> aInstances);
  /** An instance has answered or accepted a connection. */
  void OnSign(const std::string& aInstance, TimePoint aNow);
  /** The connection to an instance has ended, or could not be opened. */
  void OnLost(const std::string& aInstance, TimePoint aNow);
  void OnTimer(TimePoint aNow);
  /** @return when OnTimer is due */
  [[nodiscard]] TimePoint NextTimer() const { return mNextCheck; }

  /**
   * @return since when this instance reaches fewer than half of the zones, its own
   * included; nothing while it reaches more, and always nothing with two zones, where
   * neither side is the smaller one
   */
  [[nodiscard]] std::optional<TimePoint> CutOffSince() const { return mCutOffSince; }

private:
  struct Zone
  {
    /** Instances in an order of this instance's own, so that pings spread. */
    std::vector<std::string> mInstances;
    /** Index of the instance that is pinged. */
    std::size_t mContact = 0;
    /** When a sign came from the zone; none since the process started. */
    std::optional<TimePoint> mHeardAt;
    /** When the ping that waits for a sign was sent. */
    std::optional<TimePoint> mAwaitedSince;
    TimePoint mPingedAt;
    /** Since when further instances are asked. */
    std::optional<TimePoint> mSuspectedSince;
    bool mIsUnreachable = false;
  };

  void Ping(Zone& aZone, TimePoint aNow);
  /** Asks the next instances of a zone. */
  void AskWitnesses(Zone& aZone, TimePoint aNow);
  void Check(const std::string& aName, Zone& aZone, TimePoint aNow);
  void Judge(TimePoint aNow);

  std::string mInstance;
  std::string mZone;
  ZoneReachabilityHooks mHooks;
  std::map<std::string, Zone, std::less<>> mZones;
  std::map<std::string, std::string, std::less<>> mZoneOf;
  std::optional<TimePoint> mCutOffSince;
  TimePoint mNextCheck;
};

} // namespace papayaspindle::proxy
