#pragma once

#include "core/timetypes.h"
#include "proxy/admission/admissioninput.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace papayaspindle::proxy {

/** Number of a customer's statements that wait for one kind of members. */
struct CustomerBacklog
{
  CustomerLoad mLoad;
  std::size_t mWaiting = 0;
};

/**
 * Weighted round-robin over the customers whose statements compete for the same members.
 *
 * Start-time fair queueing with rounds as the unit of virtual time: each started
 * statement advances its customer by the inverse of the number of statements that the
 * customer may start in a round. A customer that was inactive joins the current round.
 */
class CustomerRounds
{
public:
  /** Position of a customer's next statement. */
  struct Turn
  {
    /** Rounds from the current round to the next statement; fractional. */
    double mStart = 0;
    /** Rounds between consecutive statements of the customer. */
    double mStep = 0;

    /** @return number of full rounds before the statement at an index of the customer's
     * waiting ones; 0 for those that its share covers now */
    [[nodiscard]] std::uint64_t RoundOf(std::size_t aIndex) const;
  };

  /**
   * Updates the shares and the current round.
   *
   * @param aPerSecond number of statements per second that the members complete
   * @return turns in the order of aCustomers
   */
  std::vector<Turn> Update(std::span<const CustomerBacklog> aCustomers,
                           double aPerSecond,
                           TimePoint aNow);
  /** Charges the customer for a statement that was sent to a member. */
  void OnStarted(std::string_view aCustomer, TimePoint aNow);

  /** @return number of customers whose state is kept */
  [[nodiscard]] std::size_t size() const { return mStates.size(); }

private:
  struct State
  {
    /** Virtual time of the customer's next statement. */
    double mNext = 0;
    double mStep = 1;
    TimePoint mActiveAt;
  };

  State& StateOf(std::string_view aCustomer);
  void DropInactive(TimePoint aNow);

  std::map<std::string, State, std::less<>> mStates;
  /** Virtual time: the start of the current round. */
  double mCurrent = 0;
  TimePoint mCheckedAt;
};

} // namespace papayaspindle::proxy
