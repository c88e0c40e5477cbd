#pragma once

#include "interfaces/peerhandlers.h"
#include "services/requestgate.h"

namespace papayaspindle {

/**
 * Passes registrations on; requests that peers forward go through the gate, so that a
 * drain refuses new ones as not run and waits for the others.
 */
class GatedPeerHandlers : public PeerHandlers
{
public:
  GatedPeerHandlers(PeerHandlers& aHandlers, RequestGate& aGate);

  void Register(std::string_view aMethod, PeerHandler aHandler) override;

private:
  PeerHandlers& mHandlers;
  RequestGate& mGate;
};

} // namespace papayaspindle
