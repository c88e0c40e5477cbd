#pragma once

#include "core/ids.h"
#include "core/instanceinfo.h"
#include "core/timetypes.h"
#include "decision/membership/membershipsettings.h"

#include <map>
#include <vector>

namespace papayaspindle {

/** Updates that are due for one receiver. */
struct UrgentSend
{
  InstanceId mReceiver;
  std::vector<InstanceInfo> mUpdates;
};

/**
 * Sends updates directly to instances instead of piggybacking them on probes.
 *
 * The number of instances that piggybacked updates have reached triples each second,
 * which is too slow for a leave in a zone of hundreds of instances. Sends are repeated
 * until the receiver answers, at most mMaxUrgentSends times.
 */
class UrgentPropagation
{
public:
  explicit UrgentPropagation(MembershipSettings aSettings)
    : mSettings(aSettings)
  {
  }

  void Add(const InstanceId& aReceiver, const InstanceInfo& aUpdate, TimePoint aNow);
  /** @return the updates to send now; each receiver has at most one send in flight */
  std::vector<UrgentSend> DueSends(TimePoint aNow);
  /** Records that the receiver has the updates of the last send. */
  void MarkDelivered(const InstanceId& aReceiver);

private:
  struct PendingReceiver
  {
    std::map<InstanceId, InstanceInfo> mUpdates;
    int mSendCount = 0;
    TimePoint mNextSendAt;
    /** Whether updates were added since the last send. */
    bool mHasNewUpdates = false;
  };

  MembershipSettings mSettings;
  std::map<InstanceId, PendingReceiver> mPendingReceivers;
};

} // namespace papayaspindle
