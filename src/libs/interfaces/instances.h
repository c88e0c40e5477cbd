#pragma once

#include "core/ids.h"
#include "core/instanceinfo.h"

#include <optional>
#include <vector>

namespace papayaspindle {

/** The entry instances that membership knows. Thread-safe. */
class Instances
{
public:
  virtual ~Instances() = default;

  /** @return this instance */
  [[nodiscard]] virtual InstanceInfo Self() const = 0;
  /** @return alive and suspect instances, this one included unless it drains; no leaving
   * ones */
  [[nodiscard]] virtual std::vector<InstanceInfo> Live() const = 0;
  /** @return every instance known, in any state */
  [[nodiscard]] virtual std::vector<InstanceInfo> All() const = 0;
  /** @return the instance, or nothing when it is not known */
  [[nodiscard]] virtual std::optional<InstanceInfo> Find(
    const InstanceId& aInstance) const = 0;
  /** @return whether this instance may act as keeper; false after a pause until a peer
   * answered */
  [[nodiscard]] virtual bool MayActAsKeeper() const = 0;
};

} // namespace papayaspindle
