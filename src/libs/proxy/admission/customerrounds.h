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

/** Position of a customer in the rounds. */
struct CustomerTurn
{
  /** Recently started statements of the customer. */
  double mUsed = 0;
  /** Statements of the customer in each round. */
  double mQuantum = 1;

  /** @return number of full rounds before the statement at an index of the customer's
   * waiting ones; 0 for those that its share covers */
  [[nodiscard]] std::uint64_t RoundOf(std::size_t aIndex) const
  {
    return static_cast<std::uint64_t>((mUsed + static_cast<double>(aIndex)) / mQuantum);
  }
};

/**
 * Weighted round-robin over the customers whose statements compete for the same members.
 *
 * A customer's quantum of a round is a multiple of what the other customers use for the
 * same weight. Therefore a burst that all customers share moves no statement to a later
 * round, and a customer that sends many times its usual load waits behind the others.
 */
class CustomerRounds
{
public:
  /** @return turns in the order of aCustomers */
  std::vector<CustomerTurn> Update(std::span<const CustomerBacklog> aCustomers,
                                   TimePoint aNow);
  /** Charges the customer for a statement that was sent to a member. */
  void OnStarted(std::string_view aCustomer, TimePoint aNow);

  /** @return number of customers whose state is kept */
  [[nodiscard]] std::size_t size() const { return mStates.size(); }

private:
  struct State
  {
    /** Number of started statements; decays exponentially. */
    double mUsed = 0;
    double mWeight = 0;
    std::size_t mWaiting = 0;
    TimePoint mActiveAt;
  };

  State& StateOf(std::string_view aCustomer);
  void Decay(TimePoint aNow);

  std::map<std::string, State, std::less<>> mStates;
  TimePoint mDecayedAt;
};

} // namespace papayaspindle::proxy
