#include "experiment/iazulmix.h"

#include "experiment/registerhistory.h"

#include <fmt/core.h>

namespace papayaspindle::experiment {

namespace {

constexpr std::uint64_t kPonds = 30;
constexpr std::uint64_t kHalfHours = 32;
constexpr std::uint64_t kLanes = 200;
// Shares of 100 requests; the rest are availability views.
constexpr std::uint64_t kPayments = 20;
constexpr std::uint64_t kLaneAssignments = 15;
constexpr std::uint64_t kOwnReads = 10;

std::string
SlotPrefix(std::mt19937_64& aRandom, std::uint64_t aPond)
{
  return fmt::format("lane/{}/{}/", aPond, Pick(aRandom, kHalfHours));
}

} // namespace

IazulMix::IazulMix(const MixOptions& aOptions, RegisterHistory& aHistory)
  : mOptions(aOptions)
  , mHistory(aHistory)
{
}

Operation
IazulMix::Next(std::mt19937_64& aRandom,
               const OwnWrites& aOwn,
               const std::string& aUnique)
{
  const std::uint64_t pond = Pick(aRandom, kPonds);
  const std::uint64_t share = Pick(aRandom, 100);
  if (share < kPayments) {
    return Payment(pond, aUnique);
  }
  if (share < kPayments + kLaneAssignments) {
    return LaneAssignment(aRandom, pond);
  }
  if (share < kPayments + kLaneAssignments + kOwnReads && aOwn.mReadLast.has_value()) {
    return *aOwn.mReadLast;
  }
  return View(aRandom, pond);
}

Operation
IazulMix::Payment(std::uint64_t aPond, const std::string& aUnique)
{
  Operation payment;
  payment.mName = "payment";
  payment.mGroup = GroupOf(aPond);
  payment.mWrite = true;
  payment.mRegister = "pay/" + aUnique;
  payment.mVersion = mHistory.BeginVersion(payment.mRegister).value_or(1);
  payment.mStatement =
    fmt::format("ADD {} {}#{}", payment.mRegister, payment.mRegister, payment.mVersion);
  return payment;
}

Operation
IazulMix::LaneAssignment(std::mt19937_64& aRandom, std::uint64_t aPond)
{
  Operation lane;
  lane.mName = "lane";
  lane.mGroup = GroupOf(aPond);
  lane.mWrite = true;
  lane.mKind = RegisterKind::Count;
  lane.mRegister = SlotPrefix(aRandom, aPond);
  lane.mStatement = fmt::format("ADD {}{} boat", lane.mRegister, Pick(aRandom, kLanes));
  mHistory.AttemptAdd(lane.mRegister);
  return lane;
}

Operation
IazulMix::View(std::mt19937_64& aRandom, std::uint64_t aPond) const
{
  Operation view;
  view.mName = "view";
  view.mGroup = GroupOf(aPond);
  view.mKind = RegisterKind::Count;
  view.mRegister = SlotPrefix(aRandom, aPond);
  view.mStatement = "COUNT " + view.mRegister;
  view.mMaxStaleness = mOptions.mViewAge;
  return view;
}

const GroupId&
IazulMix::GroupOf(std::uint64_t aPond) const
{
  return mOptions.mGroups[aPond % mOptions.mGroups.size()];
}

} // namespace papayaspindle::experiment
