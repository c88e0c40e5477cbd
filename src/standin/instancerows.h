#pragma once

#include "core/timetypes.h"
#include "platform.pb.h"
#include "standin.pb.h"

#include <deque>
#include <string_view>

namespace papayaspindle::standin {

/** What the lagging instance list shows at any time. Not thread-safe. */
class InstanceRows
{
public:
  /** @param aInstances every instance that ever exists, all live */
  InstanceRows(v1::ListInstancesReply aInstances, TimePoint aNow);

  /** Marks instances as leaving or ended from now on, and sets the list's lag. */
  void SetFaults(const v1::FaultSettings& aSettings, TimePoint aNow);
  /** @return the list as it was one lag ago, or at the start */
  [[nodiscard]] v1::ListInstancesReply Shown(TimePoint aNow) const;

private:
  struct Version
  {
    TimePoint mSince;
    v1::ListInstancesReply mList;
  };

  v1::ListInstancesReply mAll;
  std::deque<Version> mVersions;
  Duration mLag{};
};

/**
 * Parses one line "name zone peer-address caller-address".
 *
 * @return whether it was well-formed; then aInstance holds it
 */
bool ParseInstanceLine(std::string_view aLine, v1::ListedInstance& aInstance);

} // namespace papayaspindle::standin
