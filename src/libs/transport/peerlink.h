#pragma once

#include "core/timetypes.h"
#include "transport/peersettings.h"
#include "transport/peertraffic.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace papayaspindle {

class IoLoop;
class PeerChannel;
class PendingCall;
struct ChannelEnd;

/**
 * The client's side of one connection to a peer, on the thread of a loop. Requests are
 * written only once the peer's first HTTP/2 frame has arrived, so that a host that
 * accepts connections and never answers counts as unreachable.
 */
class PeerLink : public std::enable_shared_from_this<PeerLink>
{
public:
  /** Called once when the connection has closed. */
  using ClosedHook = std::function<void(const std::shared_ptr<PeerLink>&)>;

  PeerLink(IoLoop& aLoop,
           const PeerClientSettings& aSettings,
           PeerCounters& aCounters,
           std::string aAddress,
           ClosedHook aClosed);
  ~PeerLink();

  /** Starts to connect. */
  void Open();
  /** @return whether Open was not called yet */
  [[nodiscard]] bool IsUnopened() const { return !mChannel && !mClosed; }
  /** @return whether new calls may use this connection */
  [[nodiscard]] bool TakesCalls() const;
  void Start(const std::shared_ptr<PendingCall>& aCall);
  /** Gives up a call whose deadline has passed; tests a connection that seems silent. */
  void Abandon(PendingCall& aCall);
  /** Closes once the calls under way have ended. */
  void Retire();
  void Close(const std::string& aMessage);
  [[nodiscard]] const std::string& Address() const { return mAddress; }

private:
  std::shared_ptr<PeerChannel> MakeChannel();
  void HandleSettings();
  bool HandleBeforeSend(std::int32_t aStream);
  void HandleClosed(const ChannelEnd& aEnd);
  std::shared_ptr<PendingCall> TakeCall(std::int32_t aStream);
  void Submit(const std::shared_ptr<PendingCall>& aCall);
  void Ping();
  void Check();
  void CheckSilence(TimePoint aNow);
  void CheckIdle(TimePoint aNow);
  void ScheduleCheck(TimePoint aTime);

  IoLoop& mLoop;
  const PeerClientSettings& mSettings;
  PeerCounters& mCounters;
  const std::string mAddress;
  ClosedHook mClosedHook;
  std::shared_ptr<PeerChannel> mChannel;
  /** Calls that wait for the connection. */
  std::deque<std::shared_ptr<PendingCall>> mQueue;
  std::map<std::int32_t, std::shared_ptr<PendingCall>> mCalls;
  TimePoint mOpened;
  TimePoint mBusySince;
  TimePoint mLastUsed;
  TimePoint mNextCheck = TimePoint::max();
  std::optional<TimePoint> mPingSent;
  /** Silence after which a ping is due; at most half of the shortest time limit. */
  std::chrono::milliseconds mPingAfter;
  bool mProven = false;
  bool mRetiring = false;
  /** A call ended without any byte having arrived since it was sent. */
  bool mSuspect = false;
  bool mClosed = false;
};

} // namespace papayaspindle
