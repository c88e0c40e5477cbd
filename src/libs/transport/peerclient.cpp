#include "transport/peerclient.h"

#include "transport/ioloop.h"
#include "transport/peerlink.h"
#include "transport/pendingcall.h"

#include <map>
#include <set>
#include <utility>

namespace papayaspindle {

struct PeerClient::Private
{
  PeerClientSettings mSettings;
  PeerCounters mCounters;

  // Of the loop's thread only.
  std::map<std::string, std::shared_ptr<PeerLink>> mCurrent;
  /** All open connections, with those that only finish their calls. */
  std::set<std::shared_ptr<PeerLink>> mLinks;

  IoLoop mLoop;

  void Start(const std::shared_ptr<PendingCall>& aCall);
  std::shared_ptr<PeerLink> LinkTo(const std::string& aAddress);
  void HandleClosed(const std::shared_ptr<PeerLink>& aLink);
  void CloseAll();
};

void
PeerClient::Private::Start(const std::shared_ptr<PendingCall>& aCall)
{
  if (!aCall->IsAbandoned()) {
    const auto link = LinkTo(aCall->mCall.mAddress);
    link->Start(aCall);
    if (link->IsUnopened()) {
      link->Open();
    }
  }
}

std::shared_ptr<PeerLink>
PeerClient::Private::LinkTo(const std::string& aAddress)
{
  std::shared_ptr<PeerLink>& current = mCurrent[aAddress];
  if (current && current->TakesCalls()) {
    return current;
  }
  if (current) {
    current->Retire();
  }
  current = std::make_shared<PeerLink>(
    mLoop, mSettings, mCounters, aAddress, [this](const auto& aLink) {
      HandleClosed(aLink);
    });
  mLinks.insert(current);
  return current;
}

void
PeerClient::Private::HandleClosed(const std::shared_ptr<PeerLink>& aLink)
{
  const auto current = mCurrent.find(aLink->Address());
  if (current != mCurrent.end() && current->second == aLink) {
    mCurrent.erase(current);
  }
  mLinks.erase(aLink);
}

void
PeerClient::Private::CloseAll()
{
  for (const auto& link : std::set(mLinks)) {
    link->Close("this instance closes its connections");
  }
}

PeerClient::PeerClient(PeerClientSettings aSettings)
  : mPrivate(std::make_shared<Private>())
{
  mPrivate->mSettings = std::move(aSettings);
}

PeerClient::~PeerClient()
{
  mPrivate->mLoop.Post([state = mPrivate.get()] { state->CloseAll(); });
  mPrivate->mLoop.Stop();
}

Result<std::string>
PeerClient::Call(const PeerCall& aCall)
{
  if (aCall.mBody.size() > mPrivate->mSettings.mMaxMessageBytes) {
    return Error{ ErrorKind::StatementTooLarge, "the request is over the message limit" };
  }
  ++mPrivate->mCounters.mRequests;
  const auto pending = std::make_shared<PendingCall>(aCall);
  Private* state = mPrivate.get();
  if (!state->mLoop.Post([state, pending] { state->Start(pending); })) {
    return Error{ ErrorKind::PeerUnreachable, "this instance makes no further calls" };
  }
  Result<std::string> reply = pending->Wait();
  if (pending->IsAbandoned()) {
    state->mLoop.Post([pending] {
      if (const auto link = pending->mLink.lock()) {
        link->Abandon(*pending);
      }
    });
  }
  return reply;
}

PeerTraffic
PeerClient::Traffic() const
{
  return mPrivate->mCounters.Snapshot();
}

} // namespace papayaspindle
