#pragma once

#include "experiment/workloadmix.h"

namespace papayaspindle::experiment {

/** Kiosks and dashboards: payments, lane assignments and availability views. */
class IazulMix : public WorkloadMix
{
public:
  IazulMix(const MixOptions& aOptions, RegisterHistory& aHistory);

  Operation Next(std::mt19937_64& aRandom,
                 const OwnWrites& aOwn,
                 const std::string& aUnique) override;

private:
  Operation Payment(std::uint64_t aPond, const std::string& aUnique);
  Operation LaneAssignment(std::mt19937_64& aRandom, std::uint64_t aPond);
  Operation View(std::mt19937_64& aRandom, std::uint64_t aPond) const;
  [[nodiscard]] const GroupId& GroupOf(std::uint64_t aPond) const;

  MixOptions mOptions;
  RegisterHistory& mHistory;
};

} // namespace papayaspindle::experiment
