#include "proxy/admission/customerrounds.h"

#include <algorithm>
#include <chrono>
#include <limits>

namespace papayaspindle::proxy {

namespace {

// Time that the members need for a round in which all customers use their share. Within a
// round, statements are ordered by usual time and arrival. A shorter round orders more
// strictly by customer and answers fewer statements in time.
constexpr double kRoundSeconds = 0.1;
// Small customers send two statements at once by chance; their share of a round is less
// than one statement.
constexpr double kMinStatementsPerRound = 2;
// A statement that waits for a connection holds back the current round. Without a bound,
// customers that were inactive would join far behind those that are served meanwhile.
constexpr double kMaxLead = 2;
constexpr Duration kRetention = std::chrono::seconds(3);
constexpr Duration kDropInterval = std::chrono::seconds(1);

} // namespace

std::uint64_t
CustomerRounds::Turn::RoundOf(std::size_t aIndex) const
{
  return static_cast<std::uint64_t>(mStart + mStep * static_cast<double>(aIndex));
}

CustomerRounds::State&
CustomerRounds::StateOf(std::string_view aCustomer)
{
  const auto found = mStates.find(aCustomer);
  return found != mStates.end() ? found->second
                                : mStates.emplace(aCustomer, State{}).first->second;
}

std::vector<CustomerRounds::Turn>
CustomerRounds::Update(std::span<const CustomerBacklog> aCustomers,
                       double aPerSecond,
                       TimePoint aNow)
{
  double largest = 0;
  for (const CustomerBacklog& customer : aCustomers) {
    largest = std::max(largest, customer.mLoad.mWeight);
  }
  const double unlimited = largest > 0 ? largest : 1;
  const auto weightOf = [&](const CustomerBacklog& aCustomer) {
    return aCustomer.mLoad.mWeight > 0 ? aCustomer.mLoad.mWeight : unlimited;
  };
  double total = 0;
  for (const CustomerBacklog& customer : aCustomers) {
    total += weightOf(customer);
  }
  double earliest = std::numeric_limits<double>::infinity();
  std::vector<State*> states;
  states.reserve(aCustomers.size());
  for (const CustomerBacklog& customer : aCustomers) {
    State& state = StateOf(customer.mLoad.mName);
    const double share = weightOf(customer) / total * aPerSecond * kRoundSeconds;
    state.mStep = 1 / std::max(share, kMinStatementsPerRound);
    state.mActiveAt = aNow;
    states.push_back(&state);
    if (customer.mWaiting > 0) {
      earliest = std::min(earliest, state.mNext);
    }
  }
  if (earliest < std::numeric_limits<double>::infinity()) {
    mCurrent = std::max(mCurrent, earliest);
  }
  std::vector<Turn> turns;
  turns.reserve(states.size());
  for (const State* state : states) {
    turns.push_back({ std::max(state->mNext - mCurrent, 0.0), state->mStep });
  }
  DropInactive(aNow);
  return turns;
}

void
CustomerRounds::OnStarted(std::string_view aCustomer, TimePoint aNow)
{
  State& state = StateOf(aCustomer);
  const double start = std::max(state.mNext, mCurrent);
  state.mNext = start + state.mStep;
  state.mActiveAt = aNow;
  mCurrent = std::max(mCurrent, start - kMaxLead);
}

void
CustomerRounds::DropInactive(TimePoint aNow)
{
  if (aNow < mCheckedAt + kDropInterval) {
    return;
  }
  mCheckedAt = aNow;
  std::erase_if(mStates, [&](const auto& aEntry) {
    return aNow > aEntry.second.mActiveAt + kRetention;
  });
}

} // namespace papayaspindle::proxy
