#pragma once

#include "core/ids.h"
#include "core/instanceinfo.h"
#include "core/timetypes.h"
#include "decision/membership/membershipsettings.h"

#include <map>
#include <vector>

namespace papayaspindle {

/** Updates for one instance that are due. */
struct UrgentSend
{
  InstanceId mReceiver;
  std::vector<InstanceInfo> mUpdates;
};

/**
 * Updates that go straight to instances instead of riding on probes.
 *
 * Piggybacked updates triple their reach each second, which is too slow for a leave in a
 * zone of hundreds of instances. Repeated until the receiver answers, a few times.
 */
class UrgentSpread
{
public:
  explicit UrgentSpread(MembershipSettings aSettings)
    : mSettings(aSettings)
  {
  }

  void Add(const InstanceId& aReceiver, const InstanceInfo& aUpdate, TimePoint aNow);
  /** @return what to send now; each receiver has one send under way at most */
  std::vector<UrgentSend> Due(TimePoint aNow);
  /** Notes that the receiver has what the last send carried. */
  void NoteAnswered(const InstanceId& aReceiver);

private:
  struct Waiting
  {
    std::map<InstanceId, InstanceInfo> mUpdates;
    int mSends = 0;
    TimePoint mNext;
    /** Whether updates were added since the last send. */
    bool mGrown = false;
  };

  MembershipSettings mSettings;
  std::map<InstanceId, Waiting> mWaiting;
};

} // namespace papayaspindle
