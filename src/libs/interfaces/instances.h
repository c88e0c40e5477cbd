#pragma once

#include "core/ids.h"
#include "core/instanceinfo.h"

#include <optional>
#include <vector>

namespace papayaspindle {

/** The entry instances known to the membership protocol. Thread-safe. */
class Instances
{
public:
  virtual ~Instances() = default;

  /** @return this instance */
  [[nodiscard]] virtual InstanceInfo Self() const = 0;
  /** @return all alive and suspect instances, including this instance unless it drains */
  [[nodiscard]] virtual std::vector<InstanceInfo> Live() const = 0;
  /** @return all known instances in any state */
  [[nodiscard]] virtual std::vector<InstanceInfo> All() const = 0;
  /** @return the instance; nothing if the instance is not known */
  [[nodiscard]] virtual std::optional<InstanceInfo> Find(
    const InstanceId& aInstance) const = 0;
  /** @return whether this instance may act as a keeper. After the process was paused,
   * this is false until a peer has answered. */
  [[nodiscard]] virtual bool MayActAsKeeper() const = 0;
};

} // namespace papayaspindle
