#include "forwarding/forwardserver.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace papayaspindle {

namespace {

// Keys of an instance's own client streams are counted from 1 and stay far below this
// value.
constexpr proxy::SessionKey kFirstForwardedSession = 1ULL << 62U;
const StreamLiveness kLiveness{ std::chrono::milliseconds(1000),
                                std::chrono::seconds(2),
                                std::chrono::seconds(1) };
constexpr std::size_t kMaxMessageBytes = 4U << 20U;
constexpr std::size_t kMaxOutputBytesPerFlush = 1U << 20U;

} // namespace

ForwardServer::ForwardServer(StreamTable& aStreams, ForwardServerHooks aHooks)
  : mStreams(aStreams)
  , mHooks(std::move(aHooks))
  , mNextSession(kFirstForwardedSession)
{
}

bool
ForwardServer::IsForwardedSession(proxy::SessionKey aSession)
{
  return aSession >= kFirstForwardedSession;
}

void
ForwardServer::Listen(const std::string& aAddress)
{
  StreamHooks hooks;
  hooks.mInput = [this](StreamKey aKey, std::string& aInput) { OnInput(aKey, aInput); };
  hooks.mEnded = [this](StreamKey aKey) { OnEnded(aKey); };
  hooks.mInputUse = MemoryUse::Links;
  hooks.mOutputUse = MemoryUse::Links;
  mStreams.Listen(
    aAddress, kLiveness, hooks, [this](StreamKey aKey) { OnAccepted(aKey); });
}

void
ForwardServer::OnAccepted(StreamKey aStream)
{
  Http2Hooks http;
  http.mOnRequest = [this, aStream](std::int32_t aRequest, const PeerRequest& aMessage) {
    OnRequest(aStream, aRequest, aMessage);
  };
  http.mOnCancelled = [this, aStream](std::int32_t aRequest) {
    OnCancelled(aStream, aRequest);
  };
  mLinks[aStream].mSession = std::make_unique<Http2Session>(
    Http2Session::Role::Server, kMaxMessageBytes, std::move(http));
  mLinksToFlush.insert(aStream);
}

void
ForwardServer::OnInput(StreamKey aStream, std::string& aInput)
{
  const auto found = mLinks.find(aStream);
  if (found == mLinks.end()) {
    return;
  }
  const std::string bytes = std::exchange(aInput, {});
  mLinksToFlush.insert(aStream);
  const bool isValid = found->second.mSession->Receive(bytes);
  PassOnReceived();
  if (!isValid) {
    mStreams.Close(aStream);
    OnEnded(aStream);
  }
}

void
ForwardServer::OnCancelled(StreamKey aStream, std::int32_t aRequest)
{
  // A process that was suspended receives a statement together with its cancellation.
  std::erase_if(mReceived, [&](const ReceivedStatement& aReceived) {
    return aReceived.mStream == aStream && aReceived.mRequest == aRequest;
  });
  const auto link = mLinks.find(aStream);
  if (link == mLinks.end()) {
    return;
  }
  const auto unanswered = link->second.mUnanswered.find(aRequest);
  if (unanswered == link->second.mUnanswered.end()) {
    return;
  }
  const proxy::SessionKey session = unanswered->second;
  link->second.mUnanswered.erase(unanswered);
  const auto remote = mSessions.find(session);
  if (remote == mSessions.end()) {
    return;
  }
  link->second.mSessions.erase(remote->second.mEntryKey);
  mSessions.erase(remote);
  mHooks.mSessionEnded(session);
}

void
ForwardServer::PassOnReceived()
{
  for (ReceivedStatement& received : std::exchange(mReceived, {})) {
    const auto found = mLinks.find(received.mStream);
    if (found == mLinks.end()) {
      continue;
    }
    Link& link = found->second;
    const proxy::SessionKey entryKey = received.mStatement.mSession;
    const auto [existing, isNew] = link.mSessions.try_emplace(entryKey, mNextSession);
    mNextSession += isNew ? 1 : 0;
    const proxy::SessionKey session = existing->second;
    mSessions[session] = { received.mStream, entryKey, received.mRequest };
    link.mUnanswered[received.mRequest] = session;
    mHooks.mStatementReceived(session, std::move(received.mStatement));
  }
}

void
ForwardServer::OnRelayRequest(StreamKey aStream,
                              std::int32_t aRequest,
                              const PeerRequest& aMessage)
{
  Link& link = mLinks.at(aStream);
  const auto request = DecodeRelayRequest(aMessage.mBody);
  if (!request) {
    link.mSession->SubmitReply(
      aRequest, Error{ ErrorKind::MalformedRequest, "the question can't be read" });
    return;
  }
  const proxy::RelayKey key = mNextRelayKey++;
  link.mRelayRequests.insert(key);
  mRelayRequests[key] = { aStream, aRequest };
  mHooks.mRelayRequested(key, *request);
}

void
ForwardServer::AnswerRelay(proxy::RelayKey aKey, const proxy::RelayAnswer& aAnswer)
{
  const auto found = mRelayRequests.find(aKey);
  if (found == mRelayRequests.end()) {
    return;
  }
  const auto [stream, request] = found->second;
  mRelayRequests.erase(found);
  const auto link = mLinks.find(stream);
  if (link == mLinks.end()) {
    return;
  }
  link->second.mRelayRequests.erase(aKey);
  std::string bytes = EncodeRelayAnswer(aAnswer);
  mQueuedRelayBytes += bytes.size();
  link->second.mSession->SubmitReply(request, std::move(bytes));
  mLinksToFlush.insert(stream);
}

void
ForwardServer::OnCapacityReport(StreamKey aStream,
                                std::int32_t aRequest,
                                const PeerRequest& aMessage)
{
  Link& link = mLinks.at(aStream);
  const auto report = DecodeCapacityReport(aMessage.mBody);
  if (report) {
    mHooks.mCapacityReported(*report);
    link.mSession->SubmitReply(aRequest, std::string());
  } else {
    link.mSession->SubmitReply(
      aRequest,
      Error{ ErrorKind::MalformedRequest, "the report on members can't be read" });
  }
}

void
ForwardServer::OnTokenRequest(StreamKey aStream,
                              std::int32_t aRequest,
                              const PeerRequest& aMessage)
{
  Link& link = mLinks.at(aStream);
  const auto request = DecodeTokenRequest(aMessage.mBody);
  if (request) {
    link.mSession->SubmitReply(aRequest,
                               EncodeTokenGrant(mHooks.mTokensRequested(*request)));
  } else {
    link.mSession->SubmitReply(
      aRequest,
      Error{ ErrorKind::MalformedRequest, "the request for tokens can't be read" });
  }
}

void
ForwardServer::OnRequest(StreamKey aStream,
                         std::int32_t aRequest,
                         const PeerRequest& aMessage)
{
  if (aMessage.mMethod == kRelayMethod) {
    OnRelayRequest(aStream, aRequest, aMessage);
    return;
  }
  if (aMessage.mMethod == kTokensMethod) {
    OnTokenRequest(aStream, aRequest, aMessage);
    return;
  }
  if (aMessage.mMethod == kCapacityMethod) {
    OnCapacityReport(aStream, aRequest, aMessage);
    return;
  }
  Link& link = mLinks.at(aStream);
  if (aMessage.mMethod != kStatementMethod && aMessage.mMethod != kSessionEndMethod) {
    link.mSession->SubmitReply(
      aRequest, Error{ ErrorKind::MalformedRequest, "the method is unknown" });
    return;
  }
  std::optional<proxy::ForwardedStatement> statement =
    DecodeForwardedStatement(aMessage.mBody);
  if (!statement) {
    link.mSession->SubmitReply(
      aRequest, Error{ ErrorKind::MalformedRequest, "the statement can't be read" });
    return;
  }
  if (aMessage.mMethod == kSessionEndMethod) {
    const auto existing = link.mSessions.find(statement->mSession);
    link.mSession->SubmitReply(aRequest, std::string());
    if (existing != link.mSessions.end()) {
      const proxy::SessionKey session = existing->second;
      link.mSessions.erase(existing);
      mSessions.erase(session);
      mHooks.mSessionEnded(session);
    }
    return;
  }
  mReceived.push_back({ aStream, aRequest, std::move(*statement) });
}

void
ForwardServer::AnswerStatement(proxy::SessionKey aSession,
                               const proxy::ClientAnswer& aAnswer)
{
  const auto found = mSessions.find(aSession);
  if (found == mSessions.end()) {
    return;
  }
  const RemoteSession session = found->second;
  found->second.mRequest = 0;
  const auto link = mLinks.find(session.mStream);
  if (link == mLinks.end()) {
    return;
  }
  link->second.mUnanswered.erase(session.mRequest);
  if (aAnswer.mState != proxy::TransactionState::Open) {
    // The home instance keeps no state of a session outside a transaction.
    link->second.mSessions.erase(session.mEntryKey);
    mSessions.erase(found);
  }
  mLinksToFlush.insert(session.mStream);
  link->second.mSession->SubmitReply(session.mRequest,
                                     EncodeHomeAnswer(aAnswer, mHooks.mIsLeaving()));
}

void
ForwardServer::OnEnded(StreamKey aStream)
{
  const auto found = mLinks.find(aStream);
  if (found == mLinks.end()) {
    return;
  }
  const Link link = std::move(found->second);
  mLinks.erase(found);
  for (const proxy::RelayKey key : link.mRelayRequests) {
    mRelayRequests.erase(key);
    mHooks.mRelayCancelled(key);
  }
  for (const auto& [entryKey, session] : link.mSessions) {
    mSessions.erase(session);
    mHooks.mSessionEnded(session);
  }
}

void
ForwardServer::AccountLink(StreamKey aStream, Link& aLink)
{
  aLink.mUnfinishedBytes = aLink.mSession->IncompleteBytes();
  mStreams.SetHeldBytes(aStream, aLink.mSession->BufferedBytes());
}

std::size_t
ForwardServer::LargestUnfinishedBytes() const
{
  std::size_t bytes = 0;
  for (const auto& [stream, link] : mLinks) {
    bytes = std::max(bytes, link.mUnfinishedBytes);
  }
  return bytes;
}

std::size_t
ForwardServer::RefuseLargestUnfinished()
{
  const auto largest = std::max_element(
    mLinks.begin(), mLinks.end(), [](const auto& aOne, const auto& aTwo) {
      return aOne.second.mUnfinishedBytes < aTwo.second.mUnfinishedBytes;
    });
  if (largest == mLinks.end()) {
    return 0;
  }
  const std::size_t bytes = largest->second.mSession->RefuseLargestIncomplete();
  AccountLink(largest->first, largest->second);
  mLinksToFlush.insert(largest->first);
  return bytes;
}

std::size_t
ForwardServer::RefuseOverdue(Duration aTimeout, TimePoint aNow)
{
  std::size_t refused = 0;
  for (auto& [stream, link] : mLinks) {
    if (aNow - link.mMarkedAt <= aTimeout) {
      continue;
    }
    // Streams are numbered in the order in which they begin.
    refused += link.mSession->RefuseIncompleteUpTo(link.mMarkedRequest);
    link.mMarkedRequest = link.mSession->NewestRequest();
    link.mMarkedAt = aNow;
    AccountLink(stream, link);
    mLinksToFlush.insert(stream);
  }
  return refused;
}

bool
ForwardServer::HasOutput() const
{
  return std::any_of(
    mLinksToFlush.begin(), mLinksToFlush.end(), [this](StreamKey aStream) {
      return mStreams.QueuedOutput(aStream) < kMaxOutputBytesPerFlush;
    });
}

void
ForwardServer::Flush()
{
  mQueuedRelayBytes = 0;
  std::vector<StreamKey> failedLinks;
  for (const StreamKey stream : std::exchange(mLinksToFlush, {})) {
    const auto found = mLinks.find(stream);
    if (found == mLinks.end()) {
      continue;
    }
    if (mStreams.QueuedOutput(stream) >= kMaxOutputBytesPerFlush) {
      // The other instance reads slowly. Its messages wait in the HTTP/2 session, which
      // sends them in turns, so that a long one doesn't hold up the others.
      mLinksToFlush.insert(stream);
      continue;
    }
    std::string output;
    if (!found->second.mSession->Produce(output, kMaxOutputBytesPerFlush)) {
      failedLinks.push_back(stream);
    } else if (output.size() >= kMaxOutputBytesPerFlush) {
      mLinksToFlush.insert(stream);
    }
    if (!output.empty()) {
      mStreams.Write(stream, output);
    }
    AccountLink(stream, found->second);
  }
  for (const StreamKey stream : failedLinks) {
    mStreams.Close(stream);
    OnEnded(stream);
  }
}

} // namespace papayaspindle
