#pragma once

#include "core/timetypes.h"
#include "observe/log.h"

#include <cstddef>
#include <functional>
#include <initializer_list>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace papayaspindle::proxy {

/** Functions that a home monitor depends on, and its notifications. */
struct HomeMonitorHooks
{
  /** Sends a ping to a home instance. */
  std::function<void(const std::string& aHome)> mPing;
  /** A home has become unresponsive (false) or responds again (true). */
  std::function<void(const std::string& aHome, bool aIsResponsive)> mOnChanged;
  std::function<void(LogLevel, std::string_view aEvent, std::initializer_list<LogField>)>
    mLog;
};

/**
 * Detects home instances that can't be reached, and those that accept forwarded
 * statements but don't respond, such as a suspended process, whose connections stay open.
 *
 * A statement may wait at its home for longer than it takes to detect a suspension, so a
 * missing answer alone is no sign: a home that sends nothing while answers are due is
 * pinged, and is unresponsive if it doesn't answer the ping either.
 *
 * A home whose connection has ended or couldn't be opened is unresponsive until a ping
 * opens a connection again. Without the pings, statements would have to find out, and
 * behind a partition each of them would wait for a connection that is not accepted.
 */
class HomeMonitor
{
public:
  explicit HomeMonitor(HomeMonitorHooks aHooks);

  /** Handles that a statement was sent to a home. */
  void OnSent(const std::string& aHome, TimePoint aNow);
  /** Handles that a statement to a home was answered, has failed or was cancelled. */
  void OnFinished(const std::string& aHome);
  /** Handles that a home has sent any data, or has accepted a connection. */
  void OnResponse(const std::string& aHome, TimePoint aNow);
  /** Handles that the connection to a home has ended or couldn't be opened. */
  void OnDisconnected(const std::string& aHome, TimePoint aNow);
  /** Removes homes that are not listed any more. */
  void RemoveUnlisted(const std::function<bool(const std::string& aInstance)>& aIsListed);
  void OnTimer(TimePoint aNow);

  /** @return when OnTimer has to be called next */
  [[nodiscard]] TimePoint NextTimer() const;
  [[nodiscard]] bool IsResponsive(const std::string& aHome) const;

private:
  struct Home
  {
    /** Number of statements without an answer. */
    std::size_t mUnanswered = 0;
    /** Since when the home owes an answer without having sent anything. */
    TimePoint mSilentSince;
    /** When an unanswered ping was sent. */
    std::optional<TimePoint> mPingedAt;
    /** Since when the home is unresponsive; only meaningful while it is. */
    TimePoint mUnresponsiveSince;
    bool mIsResponsive = true;
  };

  void SetResponsive(const std::string& aName, Home& aHome, bool aIsResponsive);

  HomeMonitorHooks mHooks;
  std::map<std::string, Home> mHomes;
  TimePoint mNextCheck;
};

} // namespace papayaspindle::proxy
