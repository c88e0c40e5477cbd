#pragma once

#include "core/timetypes.h"

#include <cstdint>
#include <span>

namespace papayaspindle::proxy {

/** Smoothed number of uses per second. */
class UseRate
{
public:
  void Add(TimePoint aNow);
  /** @return uses per second at the given time */
  [[nodiscard]] double At(TimePoint aNow) const;

private:
  double mPerSecond = 0;
  TimePoint mUpdatedAt;
};

/** Connections of one customer to a member. */
struct CustomerConnections
{
  /** Connections in any state. */
  std::uint32_t mOpen = 0;
  /** Connections that are being opened; part of mOpen. */
  std::uint32_t mOpening = 0;
  /** Recent use of the member by the customer. */
  UseRate mUse;
};

/** State of an instance's connections to a member, as seen by a customer whose statement
 * waits for a connection. */
struct ConnectionDemand
{
  /** Connections to the member that the instance is entitled to. */
  std::uint32_t mShare = 1;
  /** Connections beyond which idle ones of other customers are replaced first. */
  std::uint32_t mCalmShare = 1;
  /** Connections to the member in any state. */
  std::uint32_t mOpen = 0;
  CustomerConnections mOwn;
  /** Statements of the customer that wait for a connection. */
  std::uint32_t mWaiting = 1;
  /** Whether an idle connection of another customer may be closed. */
  bool mHasReplaceable = false;
};

/** How a waiting statement gets a connection. */
enum class ConnectionStep : std::uint8_t
{
  Wait,
  Open,
  /** Close another customer's idle connection, then open one. */
  Replace,
};

/**
 * Decides how a statement gets a connection if its customer has no idle one.
 *
 * Answers a load of many customers that share few connections: each opening occupies a
 * slot of the member, so fewer are opened than statements wait; a customer that holds
 * half of the share doesn't displace others, and none holds more than three quarters of
 * it.
 */
ConnectionStep NextConnectionStep(const ConnectionDemand& aDemand);

/** An idle connection that may be closed for another customer. */
struct IdleConnection
{
  /** Number of idle connections of the same customer to the member. */
  std::uint32_t mIdleOfCustomer = 1;
  /** Uses of the member by the customer per second. */
  double mUsesPerSecond = 0;
  bool mIsReplaceable = true;
};

/**
 * Chooses the connection that is likely to stay unused for longest. Statements of many
 * callers arrive independently of each other, so the time since the last use says little,
 * and the rate of use decides.
 *
 * @param aIdle idle connections to a member
 * @return index of the connection to close; aIdle.size() if none is replaceable
 */
std::size_t ChooseReplaced(std::span<const IdleConnection> aIdle);

/**
 * @param aRateShare the customer's part of all customers' rate limits, from 0 to 1
 * @param aMaxConnections connections that a member of the group accepts from all callers
 * @param aHomes number of the group's home instances
 * @return number of homes that serve the customer: as many as its part is worth in
 * connections to the members of a group with so many homes. Statements of a large
 * customer stay in their availability zone, and a small customer needs one connection to
 * a member and not one for each home
 */
std::uint32_t HomeSpread(double aRateShare,
                         std::uint32_t aMaxConnections,
                         std::uint32_t aHomes);

} // namespace papayaspindle::proxy
