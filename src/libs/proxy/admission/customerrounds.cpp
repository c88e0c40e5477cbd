#include "proxy/admission/customerrounds.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace papayaspindle::proxy {

namespace {

// Ratio of a customer's quantum to the others' use for the same weight. Customers usually
// differ by less, also in a burst.
constexpr double kToleratedRatio = 2;
// Small customers send some statements at once by chance.
constexpr double kToleratedStatements = 4;
// Time over which started statements are counted.
constexpr std::chrono::duration<double> kMemory{ 1 };
constexpr Duration kRetention = std::chrono::seconds(5);

} // namespace

CustomerRounds::State&
CustomerRounds::StateOf(std::string_view aCustomer)
{
  const auto found = mStates.find(aCustomer);
  return found != mStates.end() ? found->second
                                : mStates.emplace(aCustomer, State{}).first->second;
}

std::vector<CustomerTurn>
CustomerRounds::Update(std::span<const CustomerBacklog> aCustomers, TimePoint aNow)
{
  Decay(aNow);
  double largest = 0;
  for (const CustomerBacklog& customer : aCustomers) {
    largest = std::max(largest, customer.mLoad.mWeight);
  }
  const double unlimited = largest > 0 ? largest : 1;
  std::vector<const State*> states;
  states.reserve(aCustomers.size());
  for (const CustomerBacklog& customer : aCustomers) {
    State& state = StateOf(customer.mLoad.mName);
    state.mWeight = customer.mLoad.mWeight > 0 ? customer.mLoad.mWeight : unlimited;
    state.mWaiting = customer.mWaiting;
    state.mActiveAt = aNow;
    states.push_back(&state);
  }
  double totalUse = 0;
  double totalWeight = 0;
  for (const auto& [name, state] : mStates) {
    totalUse += state.mUsed + static_cast<double>(state.mWaiting);
    totalWeight += state.mWeight;
  }
  std::vector<CustomerTurn> turns;
  turns.reserve(states.size());
  for (const State* state : states) {
    const double othersUse =
      totalUse - state->mUsed - static_cast<double>(state->mWaiting);
    const double othersWeight = totalWeight - state->mWeight;
    const double fair = othersWeight > 0 ? othersUse * state->mWeight / othersWeight : 0;
    turns.push_back(
      { state->mUsed, kToleratedStatements + kToleratedRatio * std::max(fair, 0.0) });
  }
  return turns;
}

void
CustomerRounds::OnStarted(std::string_view aCustomer, TimePoint aNow)
{
  State& state = StateOf(aCustomer);
  state.mUsed++;
  state.mWaiting -= std::min<std::size_t>(state.mWaiting, 1);
  state.mActiveAt = aNow;
}

void
CustomerRounds::Decay(TimePoint aNow)
{
  const std::chrono::duration<double> passed = aNow - mDecayedAt;
  const double factor = std::exp(-passed / kMemory);
  mDecayedAt = aNow;
  for (auto entry = mStates.begin(); entry != mStates.end();) {
    State& state = entry->second;
    state.mUsed *= factor;
    state.mWaiting = 0;
    entry = aNow > state.mActiveAt + kRetention ? mStates.erase(entry) : std::next(entry);
  }
}

} // namespace papayaspindle::proxy
