#pragma once

#include "core/ids.h"

#include <cstdint>
#include <map>
#include <mutex>

namespace papayaspindle {

/** Statements that this instance runs at each member now. Thread-safe; its lock is a
 * leaf. */
class MemberLoads
{
public:
  void Add(const MemberId& aMember)
  {
    const std::lock_guard lock(mMutex);
    ++mLoads[aMember];
  }

  void Remove(const MemberId& aMember)
  {
    const std::lock_guard lock(mMutex);
    const auto found = mLoads.find(aMember);
    if (found != mLoads.end() && --found->second == 0) {
      mLoads.erase(found);
    }
  }

  [[nodiscard]] std::uint64_t Of(const MemberId& aMember) const
  {
    const std::lock_guard lock(mMutex);
    const auto found = mLoads.find(aMember);
    return found == mLoads.end() ? 0 : found->second;
  }

private:
  mutable std::mutex mMutex;
  std::map<MemberId, std::uint64_t> mLoads;
};

} // namespace papayaspindle
