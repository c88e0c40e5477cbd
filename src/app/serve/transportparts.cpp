#include "serve/managersettings.h"
#include "serve/serverparts.h"

#include <utility>

namespace papayaspindle {

TransportParts::TransportParts(CommonParts& aCommon,
                               PeerClientSettings aPeerClient,
                               PeerServerSettings aPeerServer)
  : mTables(aCommon.mSettings.mPlatformTables, PlatformChannelSettings(aCommon.mSettings))
  , mObjects(aCommon.mSettings.mPlatformObjects,
             PlatformChannelSettings(aCommon.mSettings))
  , mListing(aCommon.mSettings.mPlatformInstances,
             PlatformChannelSettings(aCommon.mSettings))
  , mMembers(MemberChannelSettings(aCommon.mSettings))
  , mMemberChannels(MemberChannelSettings(aCommon.mSettings))
  , mPeerClient(std::move(aPeerClient))
  , mPeerServer(std::move(aPeerServer), aCommon.mForwardPool, aCommon.mPeerPool)
  , mHandlers(mPeerServer, aCommon.mGate)
{
}

Result<std::unique_ptr<TransportParts>>
TransportParts::Make(CommonParts& aCommon)
{
  const TlsSettings tls = PeerTlsSettings(aCommon.mSettings);
  const auto clientContext = MakePeerClientContext(tls);
  if (!IsOk(clientContext)) {
    return ErrorOf(clientContext);
  }
  const auto serverContext = MakePeerServerContext(tls);
  if (!IsOk(serverContext)) {
    return ErrorOf(serverContext);
  }
  PeerClientSettings client = PeerClientSettingsOf(aCommon.mSettings);
  client.mTls = ValueOf(clientContext);
  PeerServerSettings server = PeerServerSettingsOf(aCommon.mSettings);
  server.mTls = ValueOf(serverContext);
  return std::make_unique<TransportParts>(aCommon, std::move(client), std::move(server));
}

} // namespace papayaspindle
