#pragma once

#include "eventloop/streamtable.h"
#include "forwarding/capacitycodec.h"
#include "forwarding/forwardcodec.h"
#include "forwarding/relaycodec.h"
#include "forwarding/tokencodec.h"
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

/** Hooks for the requests of other instances to this home instance. */
struct ForwardServerHooks
{
  /** A statement has arrived; AnswerStatement answers it. */
  std::function<void(proxy::SessionKey, proxy::ForwardedStatement)> mStatementReceived;
  /** The session's transaction has ended, or its client or entry instance has
   * disconnected. */
  std::function<void(proxy::SessionKey)> mSessionEnded;
  /** Another instance requests rows of the store; AnswerRelay answers the request. */
  std::function<void(proxy::RelayKey, const proxy::RelayRequest&)> mRelayRequested;
  /** @return the answer to another instance's request for tokens */
  std::function<TokenGrant(const TokenRequest&)> mTokensRequested;
  /** Another home reports about the members of a group. */
  std::function<void(const proxy::CapacityReport&)> mCapacityReported;
  /** The requesting instance has disconnected. */
  std::function<void(proxy::RelayKey)> mRelayCancelled;
  /** @return whether this instance will soon accept no new transactions */
  std::function<bool()> mIsLeaving;
};

/** Receives statements and relay requests of other instances. */
class ForwardServer
{
public:
  ForwardServer(StreamTable& aStreams, ForwardServerHooks aHooks);

  /**
   * Accepts other instances at an address.
   *
   * @param aAddress "IP:port"
   * @throws Poco::Exception when the address can't be listened at
   */
  void Listen(const std::string& aAddress);
  /** @return whether the key belongs to a session that was forwarded by another instance
   */
  static bool IsForwardedSession(proxy::SessionKey aSession);
  /** Answers a relay request; does nothing after its instance has disconnected. */
  void AnswerRelay(proxy::RelayKey aKey, const proxy::RelayAnswer& aAnswer);
  /** @return bytes of relay answers since the last Flush, which StreamTable::QueuedBytes
   * doesn't include yet */
  [[nodiscard]] std::size_t QueuedRelayBytes() const { return mQueuedRelayBytes; }
  /** Answers a session's statement. */
  void AnswerStatement(proxy::SessionKey aSession, const proxy::ClientAnswer& aAnswer);
  /** @return bytes of the messages that are received in part, of the link that holds most
   * of them */
  [[nodiscard]] std::size_t LargestUnfinishedBytes() const;
  /** Refuses the longest unfinished message of the link that holds most bytes of them.
   * Its entry instance learns that nothing has run. @return bytes of the message */
  std::size_t RefuseLargestUnfinished();
  /** Refuses messages that have been unfinished for the timeout, or for up to twice the
   * timeout. @return their number */
  std::size_t RefuseOverdue(Duration aTimeout, TimePoint aNow);
  /** Passes queued output to the streams; called once in each turn of the event loop. */
  void Flush();
  /** @return whether a link has more output that its stream has room for */
  [[nodiscard]] bool HasOutput() const;

private:
  /** A client's session at one entry instance. */
  struct RemoteSession
  {
    StreamKey mStream = 0;
    /** Key of the session at the entry instance. */
    proxy::SessionKey mEntryKey = 0;
    /** HTTP/2 stream of the unanswered statement; 0 for none. */
    std::int32_t mRequest = 0;
  };

  /** The connection from one instance. */
  struct Link
  {
    std::unique_ptr<Http2Session> mSession;
    /** Bytes of messages that are received in part, as of the last Flush. */
    std::size_t mUnfinishedBytes = 0;
    /** The newest HTTP/2 stream at mMarkedAt. */
    std::int32_t mMarkedRequest = 0;
    TimePoint mMarkedAt;
    /** Unanswered relay requests of the link's instance. */
    std::set<proxy::RelayKey> mRelayRequests;
    /** Keys of sessions at this instance, by their keys at the entry instance. */
    std::map<proxy::SessionKey, proxy::SessionKey> mSessions;
    /** Sessions of the unanswered statements, by HTTP/2 stream. */
    std::map<std::int32_t, proxy::SessionKey> mUnanswered;
  };

  /** A statement that was received but not passed on. */
  struct ReceivedStatement
  {
    StreamKey mStream = 0;
    std::int32_t mRequest = 0;
    proxy::ForwardedStatement mStatement;
  };

  void OnAccepted(StreamKey aStream);
  void OnInput(StreamKey aStream, std::string& aInput);
  void OnEnded(StreamKey aStream);
  void OnRelayRequest(StreamKey aStream,
                      std::int32_t aRequest,
                      const PeerRequest& aMessage);
  void OnTokenRequest(StreamKey aStream,
                      std::int32_t aRequest,
                      const PeerRequest& aMessage);
  void OnCapacityReport(StreamKey aStream,
                        std::int32_t aRequest,
                        const PeerRequest& aMessage);
  void OnRequest(StreamKey aStream, std::int32_t aRequest, const PeerRequest& aMessage);
  /** Handles that the entry instance has given up a statement. */
  void OnCancelled(StreamKey aStream, std::int32_t aRequest);
  /** Accounts the bytes that a link's streams occupy. */
  void AccountLink(StreamKey aStream, Link& aLink);
  /** Passes on the received statements that were not cancelled meanwhile. */
  void PassOnReceived();

  StreamTable& mStreams;
  ForwardServerHooks mHooks;
  std::map<StreamKey, Link> mLinks;
  std::unordered_map<proxy::SessionKey, RemoteSession> mSessions;
  proxy::SessionKey mNextSession;
  /** Link and HTTP/2 stream of each unanswered relay request. */
  std::unordered_map<proxy::RelayKey, std::pair<StreamKey, std::int32_t>> mRelayRequests;
  proxy::RelayKey mNextRelayKey = 1;
  std::size_t mQueuedRelayBytes = 0;
  /** Links that may have output. */
  std::set<StreamKey> mLinksToFlush;
  std::vector<ReceivedStatement> mReceived;
};

} // namespace papayaspindle
