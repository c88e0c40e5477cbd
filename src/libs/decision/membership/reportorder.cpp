#include "decision/membership/reportorder.h"

namespace papayaspindle {

namespace {

int
RankOf(Liveness aLiveness)
{
  switch (aLiveness) {
    case Liveness::Alive:
      return 0;
    case Liveness::Suspect:
      return 1;
    case Liveness::Leaving:
      return 2;
    case Liveness::Dead:
      return 3;
  }
  return 0;
}

} // namespace

bool
Supersedes(const InstanceInfo& aReport, const InstanceInfo& aKnown)
{
  if (aReport.mIncarnation != aKnown.mIncarnation) {
    return aReport.mIncarnation > aKnown.mIncarnation;
  }
  return RankOf(aReport.mLiveness) > RankOf(aKnown.mLiveness);
}

} // namespace papayaspindle
