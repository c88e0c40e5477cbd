#include "experiment/workloadmix.h"

#include "experiment/iazulmix.h"
#include "experiment/noticesmix.h"

namespace papayaspindle::experiment {

std::unique_ptr<WorkloadMix>
MakeMix(std::string_view aName, const MixOptions& aOptions, RegisterHistory& aHistory)
{
  if (aName == "iazul") {
    return std::make_unique<IazulMix>(aOptions, aHistory);
  }
  if (aName == "notices") {
    return std::make_unique<NoticesMix>(aOptions, aHistory);
  }
  return nullptr;
}

std::uint64_t
Pick(std::mt19937_64& aRandom, std::uint64_t aLimit)
{
  return aRandom() % aLimit;
}

} // namespace papayaspindle::experiment
