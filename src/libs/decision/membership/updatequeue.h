#pragma once

#include "core/ids.h"
#include "core/instanceinfo.h"

#include <cstddef>
#include <map>
#include <vector>

namespace papayaspindle {

/** Updates that ride on probes; each is sent about 3 log n times, fewest sends first. */
class UpdateQueue
{
public:
  /** Adds an update; it replaces an older one on the same instance. */
  void Add(const InstanceInfo& aUpdate);
  /**
   * @param aMax most updates to take
   * @param aInstances live instances, for the number of sends
   */
  std::vector<InstanceInfo> Take(std::size_t aMax, std::size_t aInstances);
  [[nodiscard]] std::size_t size() const { return mUpdates.size(); }

private:
  struct Pending
  {
    InstanceInfo mUpdate;
    std::size_t mSends = 0;
  };

  std::map<InstanceId, Pending> mUpdates;
};

} // namespace papayaspindle
