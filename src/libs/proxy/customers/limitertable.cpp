#include "proxy/customers/limitertable.h"

#include "proxy/customers/limitertimes.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace papayaspindle::proxy {

namespace {

// With six limiters in up to four zones, the loss of a zone leaves at least two thirds of
// a limit, and usual loads are below that.
constexpr std::size_t kLimitersPerCustomer = 6;

// A suspended instance expires from the list after 9.6 s at the earliest, and its
// successor grants 11 s later at the earliest. Its last heartbeat may be some seconds old
// when the suspension begins.
constexpr Duration kMaxSuspension = std::chrono::seconds(10);

/** @return key of the customer in the ranking of instances; differs from any group's */
std::string
RankingKey(std::string_view aCustomer)
{
  return "rate limit of " + std::string(aCustomer);
}

} // namespace

LimiterTable::Listing::Listing(TimePoint aSince,
                               const std::string& aInstance,
                               const std::string& aZone)
  : mSince(aSince)
  , mRanking(aInstance, aZone, kLimitersPerCustomer)
{
}

LimiterTable::LimiterTable(std::string aInstance, std::string aZone, TimePoint aStartedAt)
  : mInstance(std::move(aInstance))
  , mZone(std::move(aZone))
  , mStartedAt(aStartedAt)
  , mActiveAt(aStartedAt)
  , mIsolation(mInstance, mZone, aStartedAt)
{
}

void
LimiterTable::OnActivity(TimePoint aNow)
{
  if (aNow - mActiveAt > kMaxSuspension) {
    mResumedAt = aNow;
  }
  mActiveAt = std::max(mActiveAt, aNow);
}

void
LimiterTable::OnOwnRow(const ConfirmedRow& aRow, TimePoint aNow)
{
  mIsolation.OnOwnRow(aRow, aNow);
  mListSpread = ListSpreadFor(aRow.mReadInterval);
  const bool isListed = mFirstWrittenAt && aNow - *mFirstWrittenAt >= mListSpread;
  if (aRow.mMayBeLost && !isListed) {
    // Instances that haven't read the row yet list this one only after it is written
    // again.
    mFirstWrittenAt.reset();
  } else if (!mFirstWrittenAt && aRow.mWrittenAt > mStartedAt) {
    mFirstWrittenAt = aRow.mWrittenAt;
  }
}

void
LimiterTable::SetInstances(std::span<const RegisteredInstance> aInstances,
                           StartKind aStart,
                           TimePoint aNow)
{
  mStart = aStart;
  mIsolation.SetInstances(aInstances, aNow);
  mListings.emplace_back(aNow, mInstance, mZone);
  // A limiter's work is small, so it is spread more evenly than that of homes: the loss
  // of a few large machines must not take all limiters of many customers.
  std::vector<RegisteredInstance> instances(aInstances.begin(), aInstances.end());
  for (RegisteredInstance& instance : instances) {
    instance.mWeight = std::sqrt(instance.mWeight);
  }
  mListings.back().mRanking.SetInstances(instances);
  // A list is replaced when its successor takes effect.
  while (mListings.size() > 1 && mListings[1].mSince + mListSpread <= aNow) {
    mListings.pop_front();
  }
}

std::vector<std::string>
LimiterTable::LimitersOf(std::string_view aCustomer, TimePoint aNow) const
{
  if (mListings.empty()) {
    return {};
  }
  return mListings.back().mRanking.HomesByPreference(RankingKey(aCustomer), aNow);
}

std::uint32_t
LimiterTable::LimiterCount(std::string_view aCustomer, TimePoint aNow) const
{
  const std::string key = RankingKey(aCustomer);
  std::uint32_t count = 1;
  for (std::size_t index = 0; index < mListings.size(); index++) {
    if (!IsOutOfUse(index, aNow)) {
      count = std::max(count, mListings[index].mRanking.HomeCount(key));
    }
  }
  return count;
}

bool
LimiterTable::IsOutOfUse(std::size_t aListing, TimePoint aNow) const
{
  return aListing + 1 < mListings.size() &&
         mListings[aListing + 1].mSince + mListSpread <= aNow;
}

std::optional<TimePoint>
LimiterTable::InChargeSince(std::string_view aCustomer, TimePoint aNow) const
{
  const std::string key = RankingKey(aCustomer);
  const bool hasJustResumed = mResumedAt && aNow - *mResumedAt < mListSpread;
  if (mListings.empty() || hasJustResumed || mIsolation.MayBeReplaced(aNow)) {
    return std::nullopt;
  }
  TimePoint since;
  for (std::size_t index = mListings.size(); index-- > 0;) {
    if (IsOutOfUse(index, aNow)) {
      return since;
    }
    if (!mListings[index].mRanking.IsHome(key)) {
      return std::nullopt;
    }
    since = mListings[index].mSince;
  }
  if (mStart == StartKind::Restart) {
    return mStartedAt;
  }
  // Without its row, the others can't list this instance.
  const bool isListed =
    mFirstWrittenAt && aNow - std::max(since, *mFirstWrittenAt) >= mListSpread;
  return isListed ? std::optional(since) : std::nullopt;
}

void
LimiterTable::OnNoAnswer(const std::string& aLimiter, TimePoint aNow)
{
  if (!mListings.empty()) {
    mListings.back().mRanking.Avoid(aLimiter, aNow);
  }
}

void
LimiterTable::OnAnswer(const std::string& aLimiter)
{
  if (!mListings.empty()) {
    mListings.back().mRanking.OnAnswer(aLimiter);
  }
}

} // namespace papayaspindle::proxy
