#pragma once

#include "common.pb.h"
#include "core/groupsettings.h"
#include "daemon/statements/statementhooks.h"
#include "decision/session/sessiontoken.h"

#include <string>
#include <vector>

namespace papayaspindle {

class Connections;
class FreshnessBoard;
class Groups;
class Instances;
class MemberControl;
class MemberLoads;
class ReplicationWatch;
class SessionTokenCodec;
class Tracer;
struct StatementSettings;

/** What the classes that serve requests as a home share. */
struct DataPath
{
  Groups& mGroups;
  Instances& mInstances;
  Connections& mConnections;
  MemberControl& mMembers;
  FreshnessBoard& mFreshness;
  Tracer& mTracer;
  MemberLoads& mLoads;
  ReplicationWatch& mReplication;
  const SessionTokenCodec& mTokens;
  const StatementSettings& mSettings;
  const StatementHooks& mHooks;
};

/** One request, while a home serves it. */
struct HomeRequest
{
  GroupSettings mGroup;
  SessionToken mSession;
  CallerId mCaller;
  TimePoint mDeadline;
  std::string mTraceparent;
  /** Hops to members, in order. */
  std::vector<v1::Hop> mHops;

  /** @return position of the session's last acknowledged write to the group */
  [[nodiscard]] LogPosition SessionPosition() const
  {
    return mSession.PositionOf(mGroup.mGroup);
  }
};

} // namespace papayaspindle
