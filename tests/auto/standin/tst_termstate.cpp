#include "standin/termstate.h"

#include <catch2/catch.hpp>

#include <vector>

using namespace papayaspindle;
using namespace papayaspindle::standin;

namespace {

enum class Call
{
  Raise,
  Promote,
  Follow,
};

struct Step
{
  Call mCall;
  std::uint64_t mTerm;
  /** Keeper, or the primary to follow. */
  const char* mWho;
  bool mGranted;
  v1::MemberRole mRole;
  std::uint64_t mTermAfter;
};

bool
Make(TermState& aState, const Step& aStep)
{
  if (aStep.mCall == Call::Raise) {
    return aState.Raise(aStep.mTerm, aStep.mWho);
  }
  if (aStep.mCall == Call::Promote) {
    return aState.Promote(aStep.mTerm, aStep.mWho);
  }
  v1::MemberAddress primary;
  primary.set_member(aStep.mWho);
  return aState.Follow(aStep.mTerm, primary);
}

constexpr auto kFenced = v1::MEMBER_ROLE_FENCED;
constexpr auto kPrimary = v1::MEMBER_ROLE_PRIMARY;
constexpr auto kReplica = v1::MEMBER_ROLE_REPLICA;

} // namespace

// Guards against two primaries in one term and against a term that goes back.
TEST_CASE("a term has one keeper and one primary", "[standin]")
{
  const std::vector<std::vector<Step>> runs = {
    // A keeper repeats its calls after lost answers.
    { { Call::Raise, 1, "k", true, kFenced, 1 },
      { Call::Raise, 1, "k", true, kFenced, 1 },
      { Call::Promote, 1, "k", true, kPrimary, 1 },
      { Call::Promote, 1, "k", true, kPrimary, 1 },
      { Call::Raise, 1, "k", true, kPrimary, 1 } },
    // Another keeper gets neither this term nor a lower one.
    { { Call::Raise, 2, "k", true, kFenced, 2 },
      { Call::Raise, 2, "other", false, kFenced, 2 },
      { Call::Raise, 1, "other", false, kFenced, 2 },
      { Call::Promote, 2, "other", false, kFenced, 2 },
      { Call::Promote, 1, "k", false, kFenced, 2 } },
    // A higher term fences a primary; its own keeper is late.
    { { Call::Raise, 1, "k", true, kFenced, 1 },
      { Call::Promote, 1, "k", true, kPrimary, 1 },
      { Call::Raise, 2, "other", true, kFenced, 2 },
      { Call::Promote, 1, "k", false, kFenced, 2 },
      { Call::Raise, 1, "k", false, kFenced, 2 } },
    // A member that follows somebody is granted and promoted no more in that term.
    { { Call::Raise, 1, "k", true, kFenced, 1 },
      { Call::Follow, 1, "b", true, kReplica, 1 },
      { Call::Raise, 1, "k", false, kReplica, 1 },
      { Call::Promote, 1, "k", false, kReplica, 1 },
      { Call::Follow, 1, "c", false, kReplica, 1 },
      { Call::Follow, 1, "b", true, kReplica, 1 } },
    // A primary steps down for a higher term only.
    { { Call::Raise, 3, "k", true, kFenced, 3 },
      { Call::Promote, 3, "k", true, kPrimary, 3 },
      { Call::Follow, 3, "b", false, kPrimary, 3 },
      { Call::Follow, 2, "b", false, kPrimary, 3 },
      { Call::Follow, 4, "b", true, kReplica, 4 },
      { Call::Promote, 4, "k", false, kReplica, 4 } },
  };
  for (std::size_t run = 0; run < runs.size(); ++run) {
    TermState state;
    for (std::size_t at = 0; at < runs[run].size(); ++at) {
      CAPTURE(run, at);
      const Step& step = runs[run][at];
      CHECK(Make(state, step) == step.mGranted);
      CHECK(state.Role() == step.mRole);
      CHECK(state.Term() == step.mTermAfter);
    }
  }
}
