#pragma once

#include "eventloop/streamtable.h"
#include "forwarding/forwardcodec.h"
#include "forwarding/relaycodec.h"
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
  using RelayHook = std::function<void(const std::optional<proxy::RelayAnswer>&)>;

  ForwardClient(StreamTable& aStreams, ForwardClientHooks aHooks);

  void Forward(const std::string& aInstance,
               proxy::OperationKey aOperation,
               const proxy::ForwardedStatement& aStatement,
               TimePoint aNow);
  /** Gives a statement up; no hook is called for it. */
  void Cancel(proxy::OperationKey aOperation);
  /** Asks a reader for rows of the store.
   * @param aHook called once, never from within the call; with nothing when the reader
   * can't be reached or doesn't answer in time */
  void AskRelay(const std::string& aInstance,
                const proxy::RelayRequest& aRequest,
                Duration aTimeout,
                TimePoint aNow,
                RelayHook aHook);
  /** Asks an instance for a sign of life. */
  void Ping(const std::string& aInstance, TimePoint aNow);
  /** Ends a session's transaction at a home. */
  void EndSession(const std::string& aInstance, proxy::SessionKey aSession);
  /** Hands what is queued to the streams; called once for each turn of the loop. */
  void Flush(TimePoint aNow);
  /** @return when Flush is due at the latest */
  [[nodiscard]] TimePoint NextTimer() const;

private:
  struct Link
  {
    StreamKey mStream = 0;
    std::unique_ptr<Http2Session> mSession;
    bool mIsConnected = false;
    TimePoint mOpenedAt;
    std::map<std::int32_t, proxy::OperationKey> mPending;
    /** Unanswered questions to a reader. */
    std::map<std::int32_t, RelayHook> mQuestions;
  };

  /** When a question is given up. */
  struct QuestionDeadline
  {
    std::string mInstance;
    StreamKey mLink = 0;
    std::int32_t mStream = 0;
  };

  Link* Connect(const std::string& aInstance, TimePoint aNow);
  void OnReply(const std::string& aInstance,
               std::int32_t aStream,
               const Result<std::string>& aReply);
  void OnInput(const std::string& aInstance, std::string& aInput);
  void Drop(const std::string& aInstance);
  void GiveUpQuestions(TimePoint aNow);

  StreamTable& mStreams;
  ForwardClientHooks mHooks;
  std::map<std::string, Link> mLinks;
  /** Where each pending statement is. */
  std::unordered_map<proxy::OperationKey, std::pair<std::string, std::int32_t>> mPlaces;
  /** Links that may have output. */
  std::set<std::string> mChanged;
  /** Links that are being opened. */
  std::set<std::string> mOpening;
  std::multimap<TimePoint, QuestionDeadline> mQuestionDeadlines;
  /** Questions that were not sent, to report in the next Flush. */
  std::vector<RelayHook> mUnasked;
  /** Failures to report in the next Flush. */
  std::vector<std::pair<proxy::OperationKey, std::string>> mUnsent;
};

} // namespace papayaspindle
