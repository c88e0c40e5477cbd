#pragma once

#include "standin/faultswitches.h"

#include <grpcpp/support/status.h>

namespace papayaspindle::standin {

/** @return the status of a call that a fault switch ended */
inline grpc::Status
EndedByFault()
{
  return { grpc::StatusCode::UNAVAILABLE, "refused by a fault switch" };
}

/**
 * Serves one unary call under the fault switches.
 *
 * @param aWork does the call's work; returns whether the call changed something, so that
 * its answer can be lost
 */
template<typename Work>
grpc::Status
GuardedCall(FaultSwitches& aSwitches, grpc::ServerContext& aContext, Work&& aWork)
{
  if (!aSwitches.AdmitCall(aContext)) {
    return EndedByFault();
  }
  const bool changed = aWork();
  if (changed && aSwitches.TakeLostAnswer()) {
    aSwitches.HoldUntilEnded(aContext);
    return EndedByFault();
  }
  if (!aSwitches.AdmitAnswer(aContext)) {
    return EndedByFault();
  }
  return grpc::Status::OK;
}

} // namespace papayaspindle::standin
