#pragma once

#include "core/timetypes.h"
#include "proxy/connections/connectionplan.h"
#include "proxy/keys.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace papayaspindle::proxy {

/** Part of a member's connections that this instance may use. */
struct PoolShare
{
  /** Number of connections that the instance is entitled to. */
  std::uint32_t mBase = 1;
  /** Number of connections that the member accepts from all callers together. */
  std::uint32_t mMaxConnections = 1;
  /** Whether connections bear the names of customers. */
  bool mHasCustomers = false;

  /** @return number of connections that are kept open while unused */
  [[nodiscard]] std::uint32_t Retained() const;
};

/** A waiting statement that found no idle connection of its customer. */
struct OpeningRequest
{
  std::string_view mCustomer;
  PoolShare mShare;
  /** Number of the customer's statements that wait for a connection. */
  std::uint32_t mWaiting = 1;
  /** Number of the customer's connections that are being opened and can serve the
   * statement. */
  std::uint32_t mOpening = 0;
  /** Customers whose idle connections are not replaced. */
  std::set<std::string_view> mExcluded;
  /** Statements that occupy or wait for a slot of the member, and their limit. */
  std::uint32_t mInFlight = 0;
  std::uint32_t mLimit = 1;
};

/** How the statement of an OpeningRequest gets a connection. */
struct OpeningPlan
{
  ConnectionStep mStep = ConnectionStep::Wait;
  /** Connection to close first if mStep is Replace. */
  std::optional<ConnectionKey> mReplaced;
};

/**
 * Counts this instance's connections to one member, and decides which ones are opened,
 * reused, replaced and closed.
 *
 * The caller opens and closes the connections, and reports each event once. Events of a
 * connection that is not in the pool are ignored, so that none is counted twice.
 */
class MemberPool
{
public:
  /** Whether a connection has the session values that a statement needs. */
  using MatchHook = std::function<bool(ConnectionKey)>;

  // Events

  /** Adds a connection that is being opened. */
  void OnOpening(ConnectionKey aKey, std::string_view aCustomer);
  /** Handles that the member has accepted the connection, which is not idle yet. */
  void OnReady(ConnectionKey aKey);
  /** Removes a connection that the member has refused, and delays the next one. If this
   * instance has borrowed connections, it returns one: the refusal may concern instances
   * that are entitled to it as well. */
  void OnRefused(ConnectionKey aKey, const PoolShare& aShare, TimePoint aNow);
  /** Delays the next opening after one that has failed; the connection stays in the pool
   * until it is removed. */
  void OnOpeningFailed(TimePoint aNow);
  /** Handles that the connection is outside a transaction and awaits no answer. */
  void OnIdle(ConnectionKey aKey, TimePoint aNow);
  /** Records that the customer uses the member. */
  void OnUse(std::string_view aCustomer, TimePoint aNow);
  /** Removes a connection in any state. */
  void Remove(ConnectionKey aKey);
  /** Permits the next opening now, after the member was restarted or moved. */
  void ResetBackoff(TimePoint aNow);

  // Idle connections

  /** Takes the connection that became idle last. */
  std::optional<ConnectionKey> TakeIdle();
  /** Takes an idle connection of the customer, preferably one that aMatches accepts. */
  std::optional<ConnectionKey> TakeIdle(std::string_view aCustomer,
                                        const MatchHook& aMatches);
  [[nodiscard]] bool HasIdle() const { return !mIdle.empty(); }
  [[nodiscard]] bool HasIdle(std::string_view aCustomer) const;
  [[nodiscard]] std::uint32_t IdleCount(std::string_view aCustomer) const;
  /**
   * @param aShare nothing if this instance doesn't serve the member, and closes all idle
   * connections
   * @param aIsDraining whether the member is draining
   * @return idle connections that are to be closed
   */
  [[nodiscard]] std::vector<ConnectionKey> Surplus(const std::optional<PoolShare>& aShare,
                                                   bool aIsDraining,
                                                   TimePoint aNow);

  // Openings

  /** @return number of connections in any state */
  [[nodiscard]] std::uint32_t Count() const
  {
    return static_cast<std::uint32_t>(mConnections.size());
  }
  [[nodiscard]] std::uint32_t OpeningCount() const { return mOpeningCount; }
  [[nodiscard]] CustomerConnections Of(std::string_view aCustomer) const;
  /** @return whether the pause after a failed or refused opening is not over */
  [[nodiscard]] bool IsPaused(TimePoint aNow) const { return aNow < mOpenAfter; }
  /** @return whether a connection for any statement may be opened */
  [[nodiscard]] bool MayOpen(const PoolShare& aShare, TimePoint aNow) const;
  /** @return whether a further connection would allow a further statement to be sent.
   * Connections beyond the concurrency limit are of no use, and their handshake occupies
   * a slot for longer than most statements do. */
  [[nodiscard]] bool NeedsConnection(std::uint32_t aInFlight, std::uint32_t aLimit) const
  {
    return mIdle.empty() && aInFlight + mOpeningCount < aLimit;
  }
  /** @return how a statement gets a connection that bears its customer's name */
  [[nodiscard]] OpeningPlan PlanOpening(const OpeningRequest& aRequest,
                                        TimePoint aNow) const;

private:
  struct Connection
  {
    std::string mCustomer;
    bool mIsOpening = true;
    /** When the connection became idle; only meaningful while it is in mIdle. */
    TimePoint mIdleSince;
  };

  void EndOpening(Connection& aConnection);
  /** @return idle connection that is closed to make room for one of another customer;
   * none of aExcluded */
  [[nodiscard]] std::optional<ConnectionKey> ChooseReplacedConnection(
    const std::set<std::string_view>& aExcluded,
    TimePoint aNow) const;

  std::unordered_map<ConnectionKey, Connection> mConnections;
  /** Idle connections, least recently used first. */
  std::vector<ConnectionKey> mIdle;
  std::uint32_t mOpeningCount = 0;
  /** Connections in any state by customer. */
  std::map<std::string, CustomerConnections, std::less<>> mByCustomer;
  /** Number of connections at which the member refused a further one, and until when the
   * instance opens no more. */
  std::uint32_t mRefusedCount = 0;
  TimePoint mRefusedUntil;
  /** Earliest time at which the next connection may be opened. */
  TimePoint mOpenAfter;
  Duration mOpenBackoff{};
  /** Earliest time at which a connection beyond the base share may be opened. */
  TimePoint mBorrowAfter;
  /** The next idle connection beyond the base share is closed. */
  bool mIsReturnDue = false;
};

} // namespace papayaspindle::proxy
