#include "serve/gatedpeerhandlers.h"

#include "convert/convert.h"
#include "peer.pb.h"

#include <utility>

namespace papayaspindle {

namespace {

constexpr std::string_view kForward = "Forward";

/** @return whether the request belongs to work that was accepted before the drain */
bool
Continues(const PeerRequest& aRequest)
{
  v1::ForwardRequest forward;
  if (!forward.ParseFromString(aRequest.mBody)) {
    return false;
  }
  switch (forward.request_case()) {
    case v1::ForwardRequest::kExecute:
      return !forward.execute().transaction_id().empty();
    case v1::ForwardRequest::kCommit:
    case v1::ForwardRequest::kRollback:
    case v1::ForwardRequest::kOutcome:
      return true;
    default:
      return false;
  }
}

std::string
DrainingReply()
{
  v1::ForwardReply reply;
  const std::string text(AnswerFor(ErrorKind::Draining).mText);
  *reply.mutable_error() = ToMessage(Error{ ErrorKind::Draining, text });
  return reply.SerializeAsString();
}

} // namespace

GatedPeerHandlers::GatedPeerHandlers(PeerHandlers& aHandlers, RequestGate& aGate)
  : mHandlers(aHandlers)
  , mGate(aGate)
{
}

void
GatedPeerHandlers::Register(std::string_view aMethod, PeerHandler aHandler)
{
  if (aMethod != kForward) {
    mHandlers.Register(aMethod, std::move(aHandler));
    return;
  }
  mHandlers.Register(aMethod,
                     [this, handler = std::move(aHandler)](
                       const PeerRequest& aRequest) -> Result<std::string> {
                       if (!mGate.Enter(Continues(aRequest))) {
                         return DrainingReply();
                       }
                       Result<std::string> result = handler(aRequest);
                       mGate.Leave();
                       return result;
                     });
}

} // namespace papayaspindle
