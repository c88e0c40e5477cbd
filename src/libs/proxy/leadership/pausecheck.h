#pragma once

#include "core/timetypes.h"
#include "proxy/storerevision.h"

#include <set>
#include <string>

namespace papayaspindle::proxy {

/** Search for members that claims have left paused. */
struct PauseCheck
{
  /** Revision of the leadership row that the findings belong to. */
  StoreRevision mVersion;
  /** Members that receive log entries. */
  std::set<std::string> mReceiving;
  std::set<std::string> mPaused;
  /** The member that the row names as the leader has replied that it leads. */
  bool mIsLeaderConfirmed = false;
  /** The row is being rewritten. */
  bool mIsWriting = false;
  TimePoint mNextAt;
};

} // namespace papayaspindle::proxy
