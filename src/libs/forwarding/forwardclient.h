#pragma once

#include "eventloop/streamtable.h"
#include "forwarding/forwardcodec.h"
#include "transport/http2session.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

namespace papayaspindle {

/** What happens to statements at homes. */
struct ForwardClientHooks
{
  /** @return address of an instance's peer listener, or nothing */
  std::function<std::optional<std::string>(const std::string& aInstance)> mAddressOf;
  std::function<void(proxy::OperationKey, HomeAnswer, const std::string& aInstance)>
    mAnswered;
  /** @param aWasSent whether the home may have the statement */
  std::function<void(proxy::OperationKey, bool aWasSent, const std::string& aInstance)>
    mFailed;
  /** An instance has sent something or accepted the connection. */
  std::function<void(const std::string& aInstance)> mHeard;
  /** The connection to an instance has ended or could not be opened. */
  std::function<void(const std::string& aInstance)> mLost;
};

/** Sends statements to homes: one HTTP/2 connection for each home, one stream for each
 * statement. */
class ForwardClient
{
public:
  ForwardClient(StreamTable& aStreams, ForwardClientHooks aHooks);

  void Forward(const std::string& aInstance,
               proxy::OperationKey aOperation,
               const proxy::ForwardedStatement& aStatement,
               TimePoint aNow);
  /** Gives a statement up; no hook is called for it. */
  void Cancel(proxy::OperationKey aOperation);
  /** Asks an instance for a sign of life. */
  void Ping(const std::string& aInstance, TimePoint aNow);
  /** Ends a session's transaction at a home. */
  void EndSession(const std::string& aInstance, proxy::SessionKey aSession);
  /** Hands what is queued to the streams; called once for each turn of the loop. */
  void Flush(TimePoint aNow);

private:
  struct Link
  {
    StreamKey mStream = 0;
    std::unique_ptr<Http2Session> mSession;
    bool mIsConnected = false;
    TimePoint mOpenedAt;
    std::map<std::int32_t, proxy::OperationKey> mPending;
  };

  Link* Connect(const std::string& aInstance, TimePoint aNow);
  void OnReply(const std::string& aInstance,
               std::int32_t aStream,
               const Result<std::string>& aReply);
  void OnInput(const std::string& aInstance, std::string& aInput);
  void Drop(const std::string& aInstance);

  StreamTable& mStreams;
  ForwardClientHooks mHooks;
  std::map<std::string, Link> mLinks;
  /** Where each pending statement is. */
  std::unordered_map<proxy::OperationKey, std::pair<std::string, std::int32_t>> mPlaces;
  /** Links that may have output. */
  std::set<std::string> mChanged;
  /** Links that are being opened. */
  std::set<std::string> mOpening;
  /** Failures to report in the next Flush. */
  std::vector<std::pair<proxy::OperationKey, std::string>> mUnsent;
};

} // namespace papayaspindle
