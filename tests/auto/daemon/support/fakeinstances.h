#pragma once

#include "interfaces/instances.h"

/** A fixed list of instances, the first of which is this one. */
class FakeInstances : public papayaspindle::Instances
{
public:
  [[nodiscard]] papayaspindle::InstanceInfo Self() const override
  {
    return mInstances.front();
  }
  [[nodiscard]] std::vector<papayaspindle::InstanceInfo> Live() const override
  {
    return mInstances;
  }
  [[nodiscard]] std::vector<papayaspindle::InstanceInfo> All() const override
  {
    return mInstances;
  }
  [[nodiscard]] std::optional<papayaspindle::InstanceInfo> Find(
    const papayaspindle::InstanceId& aInstance) const override
  {
    for (const papayaspindle::InstanceInfo& instance : mInstances) {
      if (instance.mInstance == aInstance) {
        return instance;
      }
    }
    return std::nullopt;
  }
  [[nodiscard]] bool MayActAsKeeper() const override { return mMayAct; }

  std::vector<papayaspindle::InstanceInfo> mInstances;
  bool mMayAct = true;
};
