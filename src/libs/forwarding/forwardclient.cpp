#include "forwarding/forwardclient.h"

#include <utility>
#include <vector>

namespace papayaspindle {

namespace {

// Homes are in the same region: unacknowledged data for this long means a dead path.
const StreamLiveness kLiveness{ std::chrono::milliseconds(400),
                                std::chrono::seconds(1),
                                std::chrono::seconds(1) };
constexpr Duration kConnectTimeout = std::chrono::milliseconds(250);
constexpr std::size_t kMaxMessage = 4U << 20U;
constexpr std::size_t kMaxProduce = 1U << 20U;

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
    Http2Session::Role::Client, kMaxMessage, std::move(http));
  StreamHooks hooks;
  hooks.mConnected = [this, aInstance](StreamKey) {
    const auto connected = mLinks.find(aInstance);
    if (connected != mLinks.end()) {
      connected->second.mIsConnected = true;
      mOpening.erase(aInstance);
      mChanged.insert(aInstance);
      mHooks.mHeard(aInstance);
    }
  };
  hooks.mInput = [this, aInstance](StreamKey, std::string& aInput) {
    OnInput(aInstance, aInput);
  };
  hooks.mEnded = [this, aInstance](StreamKey) { Drop(aInstance); };
  link.mStream = mStreams.Connect(*address, kLiveness, hooks);
  mOpening.insert(aInstance);
  return &link;
}

void
ForwardClient::Forward(const std::string& aInstance,
                       proxy::OperationKey aOperation,
                       const proxy::ForwardedStatement& aStatement,
                       TimePoint aNow)
{
  Link* link = Connect(aInstance, aNow);
  const std::int32_t stream =
    link == nullptr
      ? 0
      : link->mSession->SubmitRequest(kStatementMethod, EncodeForwarded(aStatement), "");
  if (stream == 0) {
    mUnsent.emplace_back(aOperation, aInstance);
    return;
  }
  link->mPending.emplace(stream, aOperation);
  mPlaces[aOperation] = { aInstance, stream };
  mChanged.insert(aInstance);
}

void
ForwardClient::AskRelay(const std::string& aInstance,
                        const proxy::RelayRequest& aRequest,
                        Duration aTimeout,
                        TimePoint aNow,
                        RelayHook aHook)
{
  Link* link = Connect(aInstance, aNow);
  const std::int32_t stream =
    link == nullptr
      ? 0
      : link->mSession->SubmitRequest(kRelayMethod, EncodeRelayRequest(aRequest), "");
  if (stream == 0) {
    mUnasked.push_back(std::move(aHook));
    return;
  }
  link->mQuestions.emplace(stream, std::move(aHook));
  mQuestionDeadlines.emplace(aNow + aTimeout,
                             QuestionDeadline{ aInstance, link->mStream, stream });
  mChanged.insert(aInstance);
}

void
ForwardClient::GiveUpQuestions(TimePoint aNow)
{
  while (!mQuestionDeadlines.empty() && mQuestionDeadlines.begin()->first <= aNow) {
    const QuestionDeadline late = mQuestionDeadlines.begin()->second;
    mQuestionDeadlines.erase(mQuestionDeadlines.begin());
    const auto link = mLinks.find(late.mInstance);
    if (link == mLinks.end() || link->second.mStream != late.mLink) {
      continue;
    }
    const auto question = link->second.mQuestions.find(late.mStream);
    if (question == link->second.mQuestions.end()) {
      continue;
    }
    const RelayHook hook = std::move(question->second);
    link->second.mQuestions.erase(question);
    link->second.mSession->CancelRequest(late.mStream);
    mChanged.insert(late.mInstance);
    hook(std::nullopt);
  }
}

TimePoint
ForwardClient::NextTimer() const
{
  return mQuestionDeadlines.empty() ? TimePoint::max()
                                    : mQuestionDeadlines.begin()->first;
}

void
ForwardClient::Ping(const std::string& aInstance, TimePoint aNow)
{
  Link* link = Connect(aInstance, aNow);
  // A connection that is being opened answers by being accepted.
  if (link != nullptr && link->mIsConnected) {
    link->mSession->SubmitPing();
    mChanged.insert(aInstance);
  }
}

void
ForwardClient::Cancel(proxy::OperationKey aOperation)
{
  const auto place = mPlaces.find(aOperation);
  if (place == mPlaces.end()) {
    return;
  }
  const auto [instance, stream] = place->second;
  mPlaces.erase(place);
  Link& link = mLinks.at(instance);
  link.mSession->CancelRequest(stream);
  link.mPending.erase(stream);
  mChanged.insert(instance);
}

void
ForwardClient::EndSession(const std::string& aInstance, proxy::SessionKey aSession)
{
  const auto found = mLinks.find(aInstance);
  if (found == mLinks.end()) {
    // The home ends the transactions of a lost connection itself.
    return;
  }
  proxy::ForwardedStatement end;
  end.mSession = aSession;
  found->second.mSession->SubmitRequest(kSessionEndMethod, EncodeForwarded(end), "");
  mChanged.insert(aInstance);
}

void
ForwardClient::OnReply(const std::string& aInstance,
                       std::int32_t aStream,
                       const Result<std::string>& aReply)
{
  Link& link = mLinks.at(aInstance);
  const auto question = link.mQuestions.find(aStream);
  if (question != link.mQuestions.end()) {
    const RelayHook hook = std::move(question->second);
    link.mQuestions.erase(question);
    hook(IsOk(aReply) ? DecodeRelayAnswer(ValueOf(aReply)) : std::nullopt);
    return;
  }
  const auto pending = link.mPending.find(aStream);
  if (pending == link.mPending.end()) {
    return;
  }
  const proxy::OperationKey operation = pending->second;
  link.mPending.erase(pending);
  mPlaces.erase(operation);
  std::optional<HomeAnswer> answer =
    IsOk(aReply) ? DecodeAnswer(ValueOf(aReply)) : std::nullopt;
  if (answer) {
    mHooks.mAnswered(operation, std::move(*answer), aInstance);
    return;
  }
  const bool isRefused = !IsOk(aReply) && ErrorOf(aReply).mKind == ErrorKind::Draining;
  mHooks.mFailed(operation, !isRefused, aInstance);
}

void
ForwardClient::OnInput(const std::string& aInstance, std::string& aInput)
{
  const auto found = mLinks.find(aInstance);
  if (found == mLinks.end()) {
    return;
  }
  mHooks.mHeard(aInstance);
  const std::string bytes = std::exchange(aInput, {});
  mChanged.insert(aInstance);
  if (!found->second.mSession->Receive(bytes)) {
    mStreams.Close(found->second.mStream);
    Drop(aInstance);
  }
}

void
ForwardClient::Drop(const std::string& aInstance)
{
  const auto found = mLinks.find(aInstance);
  if (found == mLinks.end()) {
    return;
  }
  const Link link = std::move(found->second);
  mLinks.erase(found);
  mOpening.erase(aInstance);
  for (const auto& [stream, operation] : link.mPending) {
    mPlaces.erase(operation);
  }
  for (const auto& [stream, operation] : link.mPending) {
    mHooks.mFailed(operation, link.mIsConnected, aInstance);
  }
  for (const auto& [stream, hook] : link.mQuestions) {
    hook(std::nullopt);
  }
  mHooks.mLost(aInstance);
}

void
ForwardClient::Flush(TimePoint aNow)
{
  const auto unsent = std::exchange(mUnsent, {});
  for (const auto& [operation, instance] : unsent) {
    mHooks.mFailed(operation, false, instance);
  }
  for (const RelayHook& hook : std::exchange(mUnasked, {})) {
    hook(std::nullopt);
  }
  GiveUpQuestions(aNow);
  std::vector<std::string> broken;
  for (const std::string& instance : mOpening) {
    if (aNow - mLinks.at(instance).mOpenedAt > kConnectTimeout) {
      broken.push_back(instance);
    }
  }
  for (const std::string& instance : std::exchange(mChanged, {})) {
    const auto found = mLinks.find(instance);
    if (found == mLinks.end() || !found->second.mIsConnected) {
      // A link that is being opened counts as changed once it is.
      continue;
    }
    std::string output;
    if (!found->second.mSession->Produce(output, kMaxProduce)) {
      broken.push_back(instance);
    } else if (output.size() >= kMaxProduce) {
      mChanged.insert(instance);
    }
    if (!output.empty()) {
      mStreams.Write(found->second.mStream, output);
    }
  }
  for (const std::string& instance : broken) {
    const auto found = mLinks.find(instance);
    if (found != mLinks.end()) {
      mStreams.Close(found->second.mStream);
      Drop(instance);
    }
  }
}

} // namespace papayaspindle
