#include "forwarding/forwardclient.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace papayaspindle {

namespace {

// Home instances are in the same region. Data that stays unacknowledged for 400 ms means
// that the network path is broken.
const StreamLiveness kLiveness{ std::chrono::milliseconds(400),
                                std::chrono::seconds(1),
                                std::chrono::seconds(1) };
constexpr Duration kConnectTimeout = std::chrono::milliseconds(250);
constexpr std::size_t kMaxMessageBytes = 4U << 20U;
constexpr std::size_t kMaxOutputBytesPerFlush = 1U << 20U;

} // namespace

ForwardClient::ForwardClient(StreamTable& aStreams, ForwardClientHooks aHooks)
  : mStreams(aStreams)
  , mHooks(std::move(aHooks))
{
}

ForwardClient::Link*
ForwardClient::Connect(const std::string& aInstance, TimePoint aNow)
{
  const auto found = mLinks.find(aInstance);
  if (found != mLinks.end()) {
    return &found->second;
  }
  const std::optional<std::string> address = mHooks.mAddressOf(aInstance);
  if (!address) {
    return nullptr;
  }
  Link& link = mLinks[aInstance];
  link.mOpenedAt = aNow;
  Http2Hooks http;
  http.mBeforeSend = [](std::int32_t) { return true; };
  http.mOnReply = [this, aInstance](std::int32_t aStream, Result<std::string> aReply) {
    OnReply(aInstance, aStream, aReply);
  };
  link.mSession = std::make_unique<Http2Session>(
    Http2Session::Role::Client, kMaxMessageBytes, std::move(http));
  StreamHooks hooks;
  hooks.mConnected = [this, aInstance](StreamKey) {
    const auto connected = mLinks.find(aInstance);
    if (connected != mLinks.end()) {
      connected->second.mIsConnected = true;
      mConnectingLinks.erase(aInstance);
      mLinksToFlush.insert(aInstance);
      mHooks.mPeerResponded(aInstance);
    }
  };
  hooks.mInput = [this, aInstance](StreamKey, std::string& aInput) {
    OnInput(aInstance, aInput);
  };
  hooks.mEnded = [this, aInstance](StreamKey) { RemoveLink(aInstance); };
  hooks.mInputUse = MemoryUse::Links;
  hooks.mOutputUse = MemoryUse::Links;
  link.mStream = mStreams.Connect(*address, kLiveness, hooks);
  mConnectingLinks.insert(aInstance);
  return &link;
}

void
ForwardClient::Forward(const std::string& aInstance,
                       proxy::OperationKey aOperation,
                       const proxy::ForwardedStatement& aStatement,
                       TimePoint aNow)
{
  Link* link = Connect(aInstance, aNow);
  std::int32_t stream = 0;
  if (link != nullptr) {
    std::string body = EncodeForwardedStatement(aStatement);
    // Accounted at once: many statements can be forwarded before the next Flush.
    mStreams.AddHeldBytes(link->mStream, body.size());
    stream = link->mSession->SubmitRequest(kStatementMethod, std::move(body), "");
  }
  if (stream == 0) {
    mUnsentStatements.emplace_back(aOperation, aInstance);
    return;
  }
  link->mPending.emplace(stream, aOperation);
  mOperationStreams[aOperation] = { aInstance, stream };
  mLinksToFlush.insert(aInstance);
}

void
ForwardClient::RequestRelay(const std::string& aInstance,
                            const proxy::RelayRequest& aRequest,
                            Duration aTimeout,
                            TimePoint aNow,
                            RelayHook aHook)
{
  Query(aInstance,
        kRelayMethod,
        EncodeRelayRequest(aRequest),
        aTimeout,
        aNow,
        [hook = std::move(aHook)](const std::optional<std::string>& aBytes) {
          hook(aBytes ? DecodeRelayAnswer(*aBytes) : std::nullopt);
        });
}

void
ForwardClient::ReportCapacity(const std::string& aInstance,
                              const proxy::CapacityReport& aReport,
                              Duration aTimeout,
                              TimePoint aNow)
{
  // An older instance answers with an error.
  Query(aInstance,
        kCapacityMethod,
        EncodeCapacityReport(aReport),
        aTimeout,
        aNow,
        [](const std::optional<std::string>&) {});
}

void
ForwardClient::RequestTokens(const std::string& aInstance,
                             const TokenRequest& aRequest,
                             Duration aTimeout,
                             TimePoint aNow,
                             GrantHook aHook)
{
  Query(aInstance,
        kTokensMethod,
        EncodeTokenRequest(aRequest),
        aTimeout,
        aNow,
        [hook = std::move(aHook)](const std::optional<std::string>& aBytes) {
          hook(aBytes ? DecodeTokenGrant(*aBytes) : std::nullopt);
        });
}

void
ForwardClient::Query(const std::string& aInstance,
                     const char* aMethod,
                     const std::string& aBody,
                     Duration aTimeout,
                     TimePoint aNow,
                     QueryHook aHook)
{
  Link* link = Connect(aInstance, aNow);
  const std::int32_t stream =
    link == nullptr ? 0 : link->mSession->SubmitRequest(aMethod, aBody, "");
  if (stream == 0) {
    mUnsentQueries.push_back(std::move(aHook));
    return;
  }
  link->mQueries.emplace(stream, std::move(aHook));
  mQueryDeadlines.emplace(aNow + aTimeout,
                          QueryDeadline{ aInstance, link->mStream, stream });
  mLinksToFlush.insert(aInstance);
}

void
ForwardClient::CancelExpiredQueries(TimePoint aNow)
{
  while (!mQueryDeadlines.empty() && mQueryDeadlines.begin()->first <= aNow) {
    const QueryDeadline expired = mQueryDeadlines.begin()->second;
    mQueryDeadlines.erase(mQueryDeadlines.begin());
    const auto link = mLinks.find(expired.mInstance);
    if (link == mLinks.end() || link->second.mStream != expired.mLink) {
      continue;
    }
    const auto request = link->second.mQueries.find(expired.mStream);
    if (request == link->second.mQueries.end()) {
      continue;
    }
    const QueryHook hook = std::move(request->second);
    link->second.mQueries.erase(request);
    link->second.mSession->CancelRequest(expired.mStream);
    mLinksToFlush.insert(expired.mInstance);
    hook(std::nullopt);
  }
}

TimePoint
ForwardClient::NextTimer() const
{
  return mQueryDeadlines.empty() ? TimePoint::max() : mQueryDeadlines.begin()->first;
}

void
ForwardClient::Ping(const std::string& aInstance, TimePoint aNow)
{
  Link* link = Connect(aInstance, aNow);
  // For a connection that is being opened, its acceptance is the response.
  if (link != nullptr && link->mIsConnected) {
    link->mSession->SubmitPing();
    mLinksToFlush.insert(aInstance);
  }
}

void
ForwardClient::Cancel(proxy::OperationKey aOperation)
{
  std::erase_if(mUnsentStatements,
                [&](const auto& aUnsent) { return aUnsent.first == aOperation; });
  const auto entry = mOperationStreams.find(aOperation);
  if (entry == mOperationStreams.end()) {
    return;
  }
  const auto [instance, stream] = entry->second;
  mOperationStreams.erase(entry);
  Link& link = mLinks.at(instance);
  link.mSession->CancelRequest(stream);
  link.mPending.erase(stream);
  mLinksToFlush.insert(instance);
}

void
ForwardClient::EndSession(const std::string& aInstance, proxy::SessionKey aSession)
{
  const auto found = mLinks.find(aInstance);
  if (found == mLinks.end()) {
    // The home instance itself ends the transactions of a lost connection.
    return;
  }
  proxy::ForwardedStatement end;
  end.mSession = aSession;
  found->second.mSession->SubmitRequest(
    kSessionEndMethod, EncodeForwardedStatement(end), "");
  mLinksToFlush.insert(aInstance);
}

void
ForwardClient::OnReply(const std::string& aInstance,
                       std::int32_t aStream,
                       const Result<std::string>& aReply)
{
  Link& link = mLinks.at(aInstance);
  const auto request = link.mQueries.find(aStream);
  if (request != link.mQueries.end()) {
    const QueryHook hook = std::move(request->second);
    link.mQueries.erase(request);
    hook(IsOk(aReply) ? std::optional(ValueOf(aReply)) : std::nullopt);
    return;
  }
  const auto pending = link.mPending.find(aStream);
  if (pending == link.mPending.end()) {
    return;
  }
  const proxy::OperationKey operation = pending->second;
  link.mPending.erase(pending);
  mOperationStreams.erase(operation);
  std::optional<HomeAnswer> answer =
    IsOk(aReply) ? DecodeHomeAnswer(ValueOf(aReply)) : std::nullopt;
  if (answer) {
    mHooks.mAnswered(operation, std::move(*answer), aInstance);
    return;
  }
  if (!IsOk(aReply) && ErrorOf(aReply).mKind == ErrorKind::Draining) {
    mHooks.mRefused(operation);
    return;
  }
  mHooks.mFailed(operation, true, aInstance);
}

void
ForwardClient::OnInput(const std::string& aInstance, std::string& aInput)
{
  const auto found = mLinks.find(aInstance);
  if (found == mLinks.end()) {
    return;
  }
  mHooks.mPeerResponded(aInstance);
  const std::string bytes = std::exchange(aInput, {});
  mLinksToFlush.insert(aInstance);
  if (!found->second.mSession->Receive(bytes)) {
    mStreams.Close(found->second.mStream);
    RemoveLink(aInstance);
  }
}

void
ForwardClient::RemoveLink(const std::string& aInstance)
{
  const auto found = mLinks.find(aInstance);
  if (found == mLinks.end()) {
    return;
  }
  const Link link = std::move(found->second);
  mLinks.erase(found);
  mConnectingLinks.erase(aInstance);
  for (const auto& [stream, operation] : link.mPending) {
    mOperationStreams.erase(operation);
  }
  for (const auto& [stream, operation] : link.mPending) {
    mHooks.mFailed(operation, link.mIsConnected, aInstance);
  }
  for (const auto& [stream, hook] : link.mQueries) {
    hook(std::nullopt);
  }
  mHooks.mPeerDisconnected(aInstance);
}

bool
ForwardClient::HasOutput() const
{
  return std::any_of(
    mLinksToFlush.begin(), mLinksToFlush.end(), [this](const std::string& aInstance) {
      const auto found = mLinks.find(aInstance);
      return found != mLinks.end() && found->second.mIsConnected &&
             mStreams.QueuedOutput(found->second.mStream) < kMaxOutputBytesPerFlush;
    });
}

void
ForwardClient::Flush(TimePoint aNow)
{
  // A hook may cancel statements that follow, or forward further ones that can't be sent.
  for (std::size_t left = mUnsentStatements.size();
       left > 0 && !mUnsentStatements.empty();
       left--) {
    const auto [operation, instance] = mUnsentStatements.front();
    mUnsentStatements.erase(mUnsentStatements.begin());
    mHooks.mFailed(operation, false, instance);
  }
  for (const QueryHook& hook : std::exchange(mUnsentQueries, {})) {
    hook(std::nullopt);
  }
  CancelExpiredQueries(aNow);
  std::vector<std::string> failedLinks;
  for (const std::string& instance : mConnectingLinks) {
    if (aNow - mLinks.at(instance).mOpenedAt > kConnectTimeout) {
      failedLinks.push_back(instance);
    }
  }
  for (const std::string& instance : std::exchange(mLinksToFlush, {})) {
    const auto found = mLinks.find(instance);
    if (found == mLinks.end() || !found->second.mIsConnected) {
      // mConnected adds the link again when its connection is open.
      continue;
    }
    if (mStreams.QueuedOutput(found->second.mStream) >= kMaxOutputBytesPerFlush) {
      // The other instance reads slowly. Its messages wait in the HTTP/2 session, which
      // sends them in turns, so that a long one doesn't hold up the others.
      mLinksToFlush.insert(instance);
      continue;
    }
    std::string output;
    if (!found->second.mSession->Produce(output, kMaxOutputBytesPerFlush)) {
      failedLinks.push_back(instance);
    } else if (output.size() >= kMaxOutputBytesPerFlush) {
      mLinksToFlush.insert(instance);
    }
    if (!output.empty()) {
      mStreams.Write(found->second.mStream, output);
    }
    mStreams.SetHeldBytes(found->second.mStream, found->second.mSession->BufferedBytes());
  }
  for (const std::string& instance : failedLinks) {
    const auto found = mLinks.find(instance);
    if (found != mLinks.end()) {
      mStreams.Close(found->second.mStream);
      RemoveLink(instance);
    }
  }
}

} // namespace papayaspindle
