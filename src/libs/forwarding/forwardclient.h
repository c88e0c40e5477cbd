#pragma once

#include "eventloop/streamtable.h"
#include "forwarding/capacitycodec.h"
#include "forwarding/forwardcodec.h"
#include "forwarding/relaycodec.h"
#include "forwarding/tokencodec.h"
#include "transport/http2session.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace papayaspindle {

/** Hooks through which a ForwardClient reports results and looks up addresses. */
struct ForwardClientHooks
{
  /** @return "IP:port" of an instance's peer listener, or nothing when it isn't known */
  std::function<std::optional<std::string>(const std::string& aInstance)> mAddressOf;
  /** A home instance has answered a statement. */
  std::function<void(proxy::OperationKey, HomeAnswer, const std::string& aInstance)>
    mAnswered;
  /** A statement got no answer. @param aWasSent whether the home instance may have
   * received it */
  std::function<void(proxy::OperationKey, bool aWasSent, const std::string& aInstance)>
    mFailed;
  /** A home instance has refused a statement before it had received it as a whole. */
  std::function<void(proxy::OperationKey)> mRefused;
  /** An instance has accepted the connection or sent data. */
  std::function<void(const std::string& aInstance)> mPeerResponded;
  /** The connection to an instance has ended or couldn't be opened; called after mFailed
   * was called for each of its statements. */
  std::function<void(const std::string& aInstance)> mPeerDisconnected;
};

/** Sends statements and relay requests to other instances: one HTTP/2 connection for each
 * instance, one HTTP/2 stream for each request. */
class ForwardClient
{
public:
  /** Receives a reader's answer, or nothing when there is none. */
  using RelayHook = std::function<void(const std::optional<proxy::RelayAnswer>&)>;

  ForwardClient(StreamTable& aStreams, ForwardClientHooks aHooks);

  /** Sends a statement to a home instance; mAnswered, mFailed or mRefused reports the
   * result, never from within this call. */
  void Forward(const std::string& aInstance,
               proxy::OperationKey aOperation,
               const proxy::ForwardedStatement& aStatement,
               TimePoint aNow);
  /** Cancels a statement; no hook is called for it. */
  void Cancel(proxy::OperationKey aOperation);
  /**
   * Requests rows of the store from a reader.
   *
   * @param aHook called once, never from within this call; with nothing when the reader
   * can't be reached or doesn't answer in time
   */
  void RequestRelay(const std::string& aInstance,
                    const proxy::RelayRequest& aRequest,
                    Duration aTimeout,
                    TimePoint aNow,
                    RelayHook aHook);
  /** Sends a report about a group's members to another home. A report that is lost is not
   * repeated. */
  void ReportCapacity(const std::string& aInstance,
                      const proxy::CapacityReport& aReport,
                      Duration aTimeout,
                      TimePoint aNow);
  /** Receives a limiter's grant, or nothing when there is no answer. */
  using GrantHook = std::function<void(const std::optional<TokenGrant>&)>;
  /**
   * Requests tokens of a customer's rate limit from a limiter.
   *
   * @param aHook called once, never from within this call; with nothing when the limiter
   * can't be reached or doesn't answer in time
   */
  void RequestTokens(const std::string& aInstance,
                     const TokenRequest& aRequest,
                     Duration aTimeout,
                     TimePoint aNow,
                     GrantHook aHook);
  /** Sends an HTTP/2 ping to an instance, or opens a connection if there is none. */
  void Ping(const std::string& aInstance, TimePoint aNow);
  /** Ends a session's transaction at a home instance. */
  void EndSession(const std::string& aInstance, proxy::SessionKey aSession);
  /** Reports failures and passes queued output to the streams; called once in each turn
   * of the event loop. */
  void Flush(TimePoint aNow);
  /** @return whether a link has more output that its stream has room for */
  [[nodiscard]] bool HasOutput() const;
  /** @return earliest deadline of a query, by which Flush must be called */
  [[nodiscard]] TimePoint NextTimer() const;

private:
  /** Receives the bytes of an answer, or nothing when there is none. */
  using QueryHook = std::function<void(const std::optional<std::string>&)>;

  /** The connection to one instance. */
  struct Link
  {
    StreamKey mStream = 0;
    std::unique_ptr<Http2Session> mSession;
    bool mIsConnected = false;
    TimePoint mOpenedAt;
    /** Unanswered statements, by HTTP/2 stream. */
    std::map<std::int32_t, proxy::OperationKey> mPending;
    /** Unanswered queries (requests other than statements), by HTTP/2 stream. */
    std::map<std::int32_t, QueryHook> mQueries;
  };

  /** A query that is cancelled at a deadline. */
  struct QueryDeadline
  {
    std::string mInstance;
    /** TCP stream of the link that carried the request. */
    StreamKey mLink = 0;
    /** HTTP/2 stream of the request. */
    std::int32_t mStream = 0;
  };

  /** @return the link to an instance, opened if needed; null without a known address */
  Link* Connect(const std::string& aInstance, TimePoint aNow);
  void OnReply(const std::string& aInstance,
               std::int32_t aStream,
               const Result<std::string>& aReply);
  void OnInput(const std::string& aInstance, std::string& aInput);
  /** Removes a link and reports the failure of all its unanswered requests. */
  void RemoveLink(const std::string& aInstance);
  /** Sends a query; the hook is called once, never from within this call. */
  void Query(const std::string& aInstance,
             const char* aMethod,
             const std::string& aBody,
             Duration aTimeout,
             TimePoint aNow,
             QueryHook aHook);
  void CancelExpiredQueries(TimePoint aNow);

  StreamTable& mStreams;
  ForwardClientHooks mHooks;
  std::map<std::string, Link> mLinks;
  /** Instance and HTTP/2 stream of each unanswered statement. */
  std::unordered_map<proxy::OperationKey, std::pair<std::string, std::int32_t>>
    mOperationStreams;
  /** Instances whose links may have output. */
  std::set<std::string> mLinksToFlush;
  /** Instances whose links are being opened. */
  std::set<std::string> mConnectingLinks;
  std::multimap<TimePoint, QueryDeadline> mQueryDeadlines;
  /** Queries that couldn't be sent; the next Flush reports them. */
  std::vector<QueryHook> mUnsentQueries;
  /** Statements that couldn't be sent; the next Flush reports their failure. */
  std::vector<std::pair<proxy::OperationKey, std::string>> mUnsentStatements;
};

} // namespace papayaspindle
