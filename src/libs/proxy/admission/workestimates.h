#pragma once

#include "proxy/admission/workestimate.h"
#include "proxy/proxyconfiguration.h"

#include <array>
#include <cstddef>

namespace papayaspindle::proxy {

/** Properties of a statement on which its usual time depends. */
struct WorkKind
{
  Consistency mConsistency = Consistency::Primary;
  bool mIsCommit = false;
};

/** Estimates of the usual time of each kind of statement. */
class WorkEstimates
{
public:
  [[nodiscard]] WorkEstimate& Of(const WorkKind& aKind)
  {
    return mEstimates[IndexOf(aKind)];
  }
  [[nodiscard]] const WorkEstimate& Of(const WorkKind& aKind) const
  {
    return mEstimates[IndexOf(aKind)];
  }

private:
  static constexpr std::size_t kConsistencies = 3;

  static std::size_t IndexOf(const WorkKind& aKind)
  {
    return static_cast<std::size_t>(aKind.mConsistency) +
           (aKind.mIsCommit ? kConsistencies : 0);
  }

  /** Estimates by consistency, first those of reads and writes, then of commits. */
  std::array<WorkEstimate, kConsistencies * 2> mEstimates;
};

} // namespace papayaspindle::proxy
