#pragma once

#include "core/error.h"
#include "core/ids.h"
#include "daemon/statements/statementhooks.h"
#include "decision/write/retrypolicy.h"
#include "peer.pb.h"

#include <optional>
#include <string>
#include <vector>

namespace papayaspindle {

class Homes;
class Instances;
class PeerCalls;
class Tracer;
struct StatementSettings;

/** Whom to forward a request to and how. */
struct ForwardTask
{
  v1::ForwardRequest mMessage;
  RequestClass mClass = RequestClass::Read;
  TimePoint mDeadline;
  std::string mTraceparent;
  /** Any home of the group may serve it, unless mOnlyHome is set. */
  GroupId mGroup;
  std::optional<InstanceId> mOnlyHome;
};

/** Sends requests to homes. Thread-safe. */
class RequestForwarder
{
public:
  struct References
  {
    Homes& mHomes;
    Instances& mInstances;
    PeerCalls& mPeers;
    Tracer& mTracer;
  };

  RequestForwarder(const References& aReferences,
                   const StatementSettings& aSettings,
                   const StatementHooks& aHooks);

  /**
   * Sends the request to one home after the other, as far as its class and what is known
   * of the attempts allow.
   *
   * @return the reply, or the error to answer with
   */
  Result<v1::ForwardReply> Forward(ForwardTask aTask) const;

private:
  /** @return homes that may serve it, without this instance, those of the own zone first
   */
  [[nodiscard]] std::vector<InstanceId> HomesFor(const ForwardTask& aTask) const;
  Result<v1::ForwardReply> SendTo(const ForwardTask& aTask,
                                  const InstanceId& aHome,
                                  Duration aAttemptTime) const;

  References mReferences;
  const StatementSettings& mSettings;
  const StatementHooks& mHooks;
};

/** @return the error in the reply to the request itself, or nothing when it succeeded */
std::optional<Error> ErrorIn(const v1::ForwardReply& aReply);

} // namespace papayaspindle
