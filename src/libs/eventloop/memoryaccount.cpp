#include "eventloop/memoryaccount.h"

#include <algorithm>
#include <numeric>

namespace papayaspindle {

namespace {

std::size_t
SumOf(const std::array<std::size_t, kMemoryUses>& aUses)
{
  return std::accumulate(aUses.begin(), aUses.end(), std::size_t{ 0 });
}

} // namespace

MemoryAccount::MemoryAccount(std::size_t aLimit)
  : mLimit(aLimit)
{
}

void
MemoryAccount::Set(Holder aHolder, MemoryUse aUse, std::size_t aBytes)
{
  const auto use = static_cast<std::size_t>(aUse);
  const auto found = mHolders.find(aHolder);
  if (found == mHolders.end() && aBytes == 0) {
    return;
  }
  Uses& uses = found == mHolders.end() ? mHolders[aHolder] : found->second;
  mTotal = mTotal - uses[use] + aBytes;
  mTotalByUse[use] = mTotalByUse[use] - uses[use] + aBytes;
  uses[use] = aBytes;
  if (aBytes == 0 && SumOf(uses) == 0) {
    mHolders.erase(aHolder);
  }
}

void
MemoryAccount::Remove(Holder aHolder)
{
  const auto found = mHolders.find(aHolder);
  if (found == mHolders.end()) {
    return;
  }
  for (std::size_t use = 0; use < kMemoryUses; use++) {
    mTotal -= found->second[use];
    mTotalByUse[use] -= found->second[use];
  }
  mHolders.erase(found);
}

std::size_t
MemoryAccount::Total(MemoryUse aUse) const
{
  return mTotalByUse[static_cast<std::size_t>(aUse)];
}

std::size_t
MemoryAccount::HeldBy(Holder aHolder) const
{
  const auto found = mHolders.find(aHolder);
  return found == mHolders.end() ? 0 : SumOf(found->second);
}

std::optional<MemoryAccount::Holder>
MemoryAccount::Largest(const std::function<bool(Holder)>& aMayClose) const
{
  std::optional<Holder> largest;
  std::size_t most = 0;
  for (const auto& [holder, uses] : mHolders) {
    const std::size_t held = SumOf(uses);
    // Among equal holders, the one with the lowest key is chosen, so that the choice does
    // not depend on the order of the table.
    const bool isLarger = held > most || (largest && held == most && holder < *largest);
    if (isLarger && aMayClose(holder)) {
      largest = holder;
      most = held;
    }
  }
  return largest;
}

} // namespace papayaspindle
