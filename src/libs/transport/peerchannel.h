#pragma once

#include "core/timetypes.h"
#include "transport/http2session.h"
#include "transport/peersocket.h"
#include "transport/peertraffic.h"

#include <functional>
#include <memory>
#include <string>

namespace papayaspindle {

class IoLoop;

/** How a connection ended. */
struct ChannelEnd
{
  std::string mMessage;
  /** A certificate was refused, on either side. */
  bool mUntrusted = false;
};

/**
 * Carries bytes between a socket and an HTTP/2 session, on the thread of a loop. Its
 * closed hook is called once, and never from within the constructor.
 */
class PeerChannel : public std::enable_shared_from_this<PeerChannel>
{
public:
  using ClosedHook = std::function<void(const ChannelEnd&)>;

  PeerChannel(IoLoop& aLoop,
              PeerSocket aSocket,
              std::unique_ptr<Http2Session> aSession,
              PeerCounters& aCounters,
              ClosedHook aClosed);
  ~PeerChannel();

  /** Begins to carry. @param aConnecting the connection attempt has not finished */
  void Start(bool aConnecting);
  /** Sends what the session has to send; closes when the session has finished. */
  void Flush();
  void Close(const ChannelEnd& aEnd);

  /**
   * When the session has finished or a certificate is refused: ends sending and waits for
   * so long for the other side to close. Closing with unread bytes would reset the
   * connection and could destroy answers that are still on their way.
   */
  void SetLinger(std::chrono::milliseconds aTime) { mLinger = aTime; }

  [[nodiscard]] bool IsClosed() const { return mClosed; }
  /** @return when bytes last arrived; the start while none did */
  [[nodiscard]] TimePoint LastReceived() const { return mLastReceived; }
  [[nodiscard]] Http2Session& Session() { return *mSession; }

private:
  void HandleReady();
  bool FinishConnecting();
  void ReceiveAll();
  bool SendPending();
  void SetWatchWrite(bool aEnable);
  void HandleFailure(const IoOutcome& aOutcome);
  /** Closes, after the linger time when one is set. */
  void End(const ChannelEnd& aEnd);

  IoLoop& mLoop;
  PeerSocket mSocket;
  std::unique_ptr<Http2Session> mSession;
  PeerCounters& mCounters;
  ClosedHook mClosedHook;
  std::string mOutgoing;
  TimePoint mLastReceived;
  bool mConnecting = false;
  bool mWatchesWrite = false;
  bool mClosed = false;
  /** Nothing more is sent; what arrives is dropped. */
  bool mLingering = false;
  std::chrono::milliseconds mLinger{ 0 };
  /** A call of the session is under way; its hooks must not start another. */
  bool mInSession = false;
};

} // namespace papayaspindle
