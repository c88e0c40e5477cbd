#pragma once

#include "proxy/customers/isolationwatch.h"
#include "proxy/customers/limitertimes.h"
#include "proxy/hometable.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace papayaspindle::proxy {

/** Whether an instance was listed under its name before its process started. */
enum class StartKind : std::uint8_t
{
  /** The instance is new to the others. */
  New,
  /** The process was restarted, and the others know the instance as a limiter already. */
  Restart,
};

/**
 * Determines which instances are the limiters of a customer, and since when.
 *
 * Instances learn of a changed list at different times. A newly ranked limiter therefore
 * grants nothing until the others have replaced their lists, or it would grant its part
 * while instances with older lists still take it from its predecessor.
 */
class LimiterTable
{
public:
  LimiterTable(std::string aInstance, std::string aZone, TimePoint aStartedAt);

  /** Replaces the list of live instances, which includes this one. */
  void SetInstances(std::span<const RegisteredInstance> aInstances,
                    StartKind aStart,
                    TimePoint aNow);

  /** Detects that the process was suspended for so long that the other instances may have
   * replaced it as a limiter; called often, and before InChargeSince. */
  void OnActivity(TimePoint aNow);
  /** Handles the state of this instance's row; called often, also if it has not changed.
   */
  void OnOwnRow(const ConfirmedRow& aRow, TimePoint aNow);
  /** Handles that another instance has answered any message. */
  void OnPeerAnswered(std::string_view aInstance, TimePoint aNow)
  {
    mIsolation.OnPeerAnswered(aInstance, aNow);
  }
  /** @return instances to ping; their answers show that this instance is not isolated */
  std::vector<std::string> PeersToPing(TimePoint aNow)
  {
    return mIsolation.PeersToPing(aNow);
  }

  /** @return the customer's limiters, those of this instance's availability zone first
   * and those that were lost lately last */
  [[nodiscard]] std::vector<std::string> LimitersOf(std::string_view aCustomer,
                                                    TimePoint aNow) const;
  /** Handles that a limiter could not be reached or has not answered. */
  void OnNoAnswer(const std::string& aLimiter, TimePoint aNow);
  void OnAnswer(const std::string& aLimiter);
  /**
   * @return number of limiters that share the customer's limit, at least 1; the largest
   * of the lists that other instances may still use, because a limiter that is missing
   * from a newer list may still grant its part
   */
  [[nodiscard]] std::uint32_t LimiterCount(std::string_view aCustomer,
                                           TimePoint aNow) const;
  /** @return since when this instance has been a limiter of the customer; nothing while
   * it must not grant tokens */
  [[nodiscard]] std::optional<TimePoint> InChargeSince(std::string_view aCustomer,
                                                       TimePoint aNow) const;

private:
  /** A list of instances and the time since when it is in effect. */
  struct Listing
  {
    Listing(TimePoint aSince, const std::string& aInstance, const std::string& aZone);

    TimePoint mSince;
    HomeTable mRanking;
  };

  /** @return whether all instances have replaced a list */
  [[nodiscard]] bool IsOutOfUse(std::size_t aListing, TimePoint aNow) const;

  std::string mInstance;
  std::string mZone;
  TimePoint mStartedAt;
  StartKind mStart = StartKind::New;
  TimePoint mActiveAt;
  /** When the process woke from its last long suspension. */
  std::optional<TimePoint> mResumedAt;
  IsolationWatch mIsolation;
  /** When the first row of this process was written; nothing before. */
  std::optional<TimePoint> mFirstWrittenAt;
  /** Time after which all instances have replaced a list. */
  Duration mListSpread = kMinListSpread;
  /** The current list is the last one; earlier ones are kept while other instances may
   * still use them. */
  std::deque<Listing> mListings;
};

} // namespace papayaspindle::proxy
