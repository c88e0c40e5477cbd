#include "experiment/registerhistory.h"

#include <algorithm>

namespace papayaspindle::experiment {

std::optional<std::uint64_t>
RegisterHistory::BeginVersion(const std::string& aRegister)
{
  const std::lock_guard lock(mMutex);
  Register& one = mRegisters[aRegister];
  if (one.mWriting || one.mRetired) {
    return std::nullopt;
  }
  one.mWriting = true;
  return ++one.mAttempted;
}

void
RegisterHistory::AcknowledgeVersion(const std::string& aRegister,
                                    std::uint64_t aVersion,
                                    TimePoint aAt)
{
  const std::lock_guard lock(mMutex);
  Register& one = mRegisters[aRegister];
  one.mAcknowledged.push_back({ aAt, aVersion });
  one.mWriting = false;
}

void
RegisterHistory::AbandonVersion(const std::string& aRegister)
{
  const std::lock_guard lock(mMutex);
  mRegisters[aRegister].mWriting = false;
}

void
RegisterHistory::Retire(const std::string& aRegister)
{
  const std::lock_guard lock(mMutex);
  Register& one = mRegisters[aRegister];
  one.mWriting = false;
  one.mRetired = true;
}

void
RegisterHistory::AttemptAdd(const std::string& aPrefix)
{
  const std::lock_guard lock(mMutex);
  ++mRegisters[aPrefix].mAttempted;
}

void
RegisterHistory::AcknowledgeAdd(const std::string& aPrefix, TimePoint aAt)
{
  const std::lock_guard lock(mMutex);
  Register& one = mRegisters[aPrefix];
  const std::uint64_t before =
    one.mAcknowledged.empty() ? 0 : one.mAcknowledged.back().mValue;
  // Threads may come here in another order than that of their times.
  const TimePoint at =
    one.mAcknowledged.empty() ? aAt : std::max(aAt, one.mAcknowledged.back().mAt);
  one.mAcknowledged.push_back({ at, before + 1 });
}

std::uint64_t
RegisterHistory::AcknowledgedBy(const std::string& aRegister, TimePoint aAt) const
{
  const std::lock_guard lock(mMutex);
  const auto found = mRegisters.find(aRegister);
  if (found == mRegisters.end()) {
    return 0;
  }
  const auto& all = found->second.mAcknowledged;
  const auto after = std::upper_bound(
    all.begin(), all.end(), aAt, [](TimePoint aTime, const Acknowledgement& aOne) {
      return aTime < aOne.mAt;
    });
  return after == all.begin() ? 0 : std::prev(after)->mValue;
}

std::uint64_t
RegisterHistory::Attempted(const std::string& aRegister) const
{
  const std::lock_guard lock(mMutex);
  const auto found = mRegisters.find(aRegister);
  return found == mRegisters.end() ? 0 : found->second.mAttempted;
}

} // namespace papayaspindle::experiment
