#pragma once

#include "core/ids.h"
#include "core/instanceinfo.h"

#include <cstddef>
#include <map>
#include <vector>

namespace papayaspindle {

/** Queue of updates that are piggybacked on probes. Each update is sent about 3 log n
 * times for n instances; those sent least often go first. */
class UpdateQueue
{
public:
  /** Adds an update, which replaces an earlier one about the same instance. */
  void Add(const InstanceInfo& aUpdate);
  /**
   * @param aMax maximum number of updates to return
   * @param aInstances number of instances, which determines how often an update is sent
   * @return updates for the next message
   */
  std::vector<InstanceInfo> TakeUpdates(std::size_t aMax, std::size_t aInstances);
  [[nodiscard]] std::size_t size() const { return mUpdates.size(); }

private:
  struct PendingUpdate
  {
    InstanceInfo mUpdate;
    std::size_t mSendCount = 0;
  };

  std::map<InstanceId, PendingUpdate> mUpdates;
};

} // namespace papayaspindle
