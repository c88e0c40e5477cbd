#pragma once

#include <memory>
#include <string>

namespace papayaspindle::standin {

class FaultSwitches;
class Member;

/** Keeps a replica's stream from its primary open, reconnecting by itself. */
class ReplicationPuller
{
public:
  /** @param aName this member's name, sent with each call */
  ReplicationPuller(std::string aName, Member& aMember, FaultSwitches& aSwitches);
  ~ReplicationPuller();

private:
  struct Private;
  std::unique_ptr<Private> mPrivate;
};

} // namespace papayaspindle::standin
