#include "standin/instancerows.h"

#include <algorithm>
#include <chrono>
#include <sstream>
#include <string>
#include <utility>

namespace papayaspindle::standin {

InstanceRows::InstanceRows(v1::ListInstancesReply aInstances, TimePoint aNow)
  : mAll(std::move(aInstances))
{
  for (v1::ListedInstance& instance : *mAll.mutable_instances()) {
    instance.set_state(v1::INSTANCE_STATE_LIVE);
  }
  mVersions.push_back({ aNow, mAll });
}

void
InstanceRows::SetFaults(const v1::FaultSettings& aSettings, TimePoint aNow)
{
  const auto names = [](const auto& aNames, const std::string& aName) {
    return std::find(aNames.begin(), aNames.end(), aName) != aNames.end();
  };
  v1::ListInstancesReply list;
  for (const v1::ListedInstance& instance : mAll.instances()) {
    if (names(aSettings.ended(), instance.instance())) {
      continue;
    }
    v1::ListedInstance* shown = list.add_instances();
    *shown = instance;
    if (names(aSettings.leaving_instances(), instance.instance())) {
      shown->set_state(v1::INSTANCE_STATE_LEAVING);
    }
  }
  mVersions.push_back({ aNow, std::move(list) });
  mLag = std::chrono::milliseconds(aSettings.list_lag_ms());
}

v1::ListInstancesReply
InstanceRows::Shown(TimePoint aNow) const
{
  const auto newest =
    std::find_if(mVersions.rbegin(), mVersions.rend(), [&](const Version& aVersion) {
      return aVersion.mSince + mLag <= aNow;
    });
  return newest == mVersions.rend() ? mVersions.front().mList : newest->mList;
}

bool
ParseInstanceLine(std::string_view aLine, v1::ListedInstance& aInstance)
{
  std::istringstream words{ std::string(aLine) };
  std::string surplus;
  words >> *aInstance.mutable_instance() >> *aInstance.mutable_availability_zone() >>
    *aInstance.mutable_peer_address() >> *aInstance.mutable_caller_address();
  return !words.fail() && !(words >> surplus);
}

} // namespace papayaspindle::standin
