#pragma once

#include "eventloop/streamtable.h"
#include "forwarding/forwardcodec.h"
#include "forwarding/relaycodec.h"
#include "proxy/tables/tablerelay.h"
#include "transport/http2session.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

namespace papayaspindle {

/** What other instances ask of this home. */
struct ForwardServerHooks
{
  std::function<void(proxy::SessionKey, proxy::ForwardedStatement)> mStatement;
  /** The session's client is gone, or its transaction over. */
  std::function<void(proxy::SessionKey)> mSessionEnded;
  /** Another instance asks for rows of the store; answered by AnswerRelay. */
  std::function<void(proxy::RelayKey, const proxy::RelayRequest&)> mRelayAsked;
  /** The instance that asked has gone. */
  std::function<void(proxy::RelayKey)> mRelayCancelled;
  /** @return whether this instance leaves soon */
  std::function<bool()> mIsLeaving;
};

/** Takes statements of other instances. */
class ForwardServer
{
public:
  ForwardServer(StreamTable& aStreams, ForwardServerHooks aHooks);

  /** @throws Poco::Exception when the address can't be listened at */
  void Listen(const std::string& aAddress);
  /** @return whether the key is one of this class */
  static bool IsForwarded(proxy::SessionKey aSession);
  /** Answers a question for rows of the store. */
  void AnswerRelay(proxy::RelayKey aKey, const proxy::RelayAnswer& aAnswer);
  /** @return bytes of answers to questions since the last Flush, which the streams don't
   * know yet */
  [[nodiscard]] std::size_t QueuedRelayBytes() const { return mQueuedRelayBytes; }
  /** Answers the statement of a session. */
  void Answer(proxy::SessionKey aSession, const proxy::ClientAnswer& aAnswer);
  /** Hands what is queued to the streams; called once for each turn of the loop. */
  void Flush();

private:
  /** A client's session at one entry instance. */
  struct RemoteSession
  {
    StreamKey mStream = 0;
    proxy::SessionKey mEntryKey = 0;
    /** HTTP/2 stream of the unanswered statement; 0 for none. */
    std::int32_t mRequest = 0;
  };

  struct Link
  {
    std::unique_ptr<Http2Session> mSession;
    /** Unanswered questions of the link's instance. */
    std::set<proxy::RelayKey> mQuestions;
    /** By the entry instance's key. */
    std::map<proxy::SessionKey, proxy::SessionKey> mSessions;
  };

  void OnAccepted(StreamKey aStream);
  void OnInput(StreamKey aStream, std::string& aInput);
  void OnEnded(StreamKey aStream);
  void OnRelayRequest(StreamKey aStream,
                      std::int32_t aRequest,
                      const PeerRequest& aMessage);
  void OnRequest(StreamKey aStream, std::int32_t aRequest, const PeerRequest& aMessage);

  StreamTable& mStreams;
  ForwardServerHooks mHooks;
  std::map<StreamKey, Link> mLinks;
  std::unordered_map<proxy::SessionKey, RemoteSession> mSessions;
  proxy::SessionKey mNextSession;
  /** Link and HTTP/2 stream of each unanswered question. */
  std::unordered_map<proxy::RelayKey, std::pair<StreamKey, std::int32_t>> mQuestions;
  proxy::RelayKey mNextQuestion = 1;
  std::size_t mQueuedRelayBytes = 0;
  /** Links that may have output. */
  std::set<StreamKey> mChanged;
};

} // namespace papayaspindle
