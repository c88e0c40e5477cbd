#pragma once

#include "experiment/workloadmix.h"

namespace papayaspindle::experiment {

/** The public register: mostly reads, some lodgements and approvals. */
class NoticesMix : public WorkloadMix
{
public:
  NoticesMix(const MixOptions& aOptions, RegisterHistory& aHistory);

  Operation Next(std::mt19937_64& aRandom,
                 const OwnWrites& aOwn,
                 const std::string& aUnique) override;

private:
  std::optional<Operation> Lodgement(std::uint64_t aNotice);
  Operation Approval(std::uint64_t aNotice, const std::string& aUnique);
  [[nodiscard]] Operation RegisterRead(std::uint64_t aNotice) const;
  [[nodiscard]] const GroupId& GroupOf(std::uint64_t aNotice) const;

  MixOptions mOptions;
  RegisterHistory& mHistory;
};

} // namespace papayaspindle::experiment
