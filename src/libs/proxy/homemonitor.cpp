#include "proxy/homemonitor.h"

#include <algorithm>
#include <utility>

namespace papayaspindle::proxy {

namespace {

using namespace std::chrono_literals;

constexpr Duration kCheckInterval = 50ms;
// Most statements are answered within this time.
constexpr Duration kSilenceBeforePing = 100ms;
// Many round trips within a region, and the turn of the event loop of a busy instance.
constexpr Duration kPingTimeout = 150ms;
// Interval of the pings to an unresponsive home. A restarted process has to be found
// soon, because few homes serve all statements after a loss of many instances.
constexpr Duration kRetryInterval = 250ms;
// Interval of the pings to a home that stays away for longer than a restart takes.
constexpr Duration kLongRetryInterval = 1s;
constexpr Duration kRestartTime = 4s;

/** @return time between two pings to a home that is unresponsive since aSince */
Duration
RetryInterval(TimePoint aSince, TimePoint aNow)
{
  return aNow - aSince < kRestartTime ? kRetryInterval : kLongRetryInterval;
}

} // namespace

HomeMonitor::HomeMonitor(HomeMonitorHooks aHooks)
  : mHooks(std::move(aHooks))
{
}

void
HomeMonitor::OnSent(const std::string& aHome, TimePoint aNow)
{
  Home& home = mHomes[aHome];
  if (home.mUnanswered++ == 0) {
    home.mSilentSince = aNow;
  }
}

void
HomeMonitor::OnFinished(const std::string& aHome)
{
  Home& home = mHomes[aHome];
  home.mUnanswered -= std::min<std::size_t>(home.mUnanswered, 1);
}

void
HomeMonitor::OnResponse(const std::string& aHome, TimePoint aNow)
{
  const auto found = mHomes.find(aHome);
  if (found == mHomes.end()) {
    return;
  }
  found->second.mSilentSince = aNow;
  found->second.mPingedAt.reset();
  SetResponsive(aHome, found->second, true);
}

void
HomeMonitor::OnDisconnected(const std::string& aHome, TimePoint aNow)
{
  const auto found = mHomes.find(aHome);
  if (found == mHomes.end()) {
    return;
  }
  Home& home = found->second;
  if (home.mIsResponsive) {
    home.mUnresponsiveSince = aNow;
  }
  // A failed attempt to connect ends the ping that started it.
  home.mPingedAt = aNow;
  mNextCheck = std::min(mNextCheck, aNow + kRetryInterval);
  SetResponsive(aHome, home, false);
}

void
HomeMonitor::RemoveUnlisted(
  const std::function<bool(const std::string& aInstance)>& aIsListed)
{
  for (auto home = mHomes.begin(); home != mHomes.end();) {
    if (aIsListed(home->first) || home->second.mUnanswered > 0) {
      ++home;
      continue;
    }
    SetResponsive(home->first, home->second, true);
    home = mHomes.erase(home);
  }
}

void
HomeMonitor::OnTimer(TimePoint aNow)
{
  if (aNow < mNextCheck) {
    return;
  }
  mNextCheck = aNow + kCheckInterval;
  for (auto& [name, home] : mHomes) {
    if (!home.mIsResponsive) {
      if (!home.mPingedAt ||
          aNow - *home.mPingedAt >= RetryInterval(home.mUnresponsiveSince, aNow)) {
        home.mPingedAt = aNow;
        mHooks.mPing(name);
      }
      continue;
    }
    if (home.mUnanswered == 0 || aNow - home.mSilentSince < kSilenceBeforePing) {
      continue;
    }
    if (!home.mPingedAt) {
      home.mPingedAt = aNow;
      mHooks.mPing(name);
    } else if (aNow - *home.mPingedAt >= kPingTimeout) {
      home.mUnresponsiveSince = aNow;
      SetResponsive(name, home, false);
    }
  }
}

TimePoint
HomeMonitor::NextTimer() const
{
  const bool isNeeded = std::any_of(mHomes.begin(), mHomes.end(), [](const auto& aHome) {
    return aHome.second.mUnanswered > 0 || !aHome.second.mIsResponsive;
  });
  return isNeeded ? mNextCheck : TimePoint::max();
}

bool
HomeMonitor::IsResponsive(const std::string& aHome) const
{
  const auto found = mHomes.find(aHome);
  return found == mHomes.end() || found->second.mIsResponsive;
}

void
HomeMonitor::SetResponsive(const std::string& aName, Home& aHome, bool aIsResponsive)
{
  if (aHome.mIsResponsive == aIsResponsive) {
    return;
  }
  aHome.mIsResponsive = aIsResponsive;
  mHooks.mLog(aIsResponsive ? LogLevel::Info : LogLevel::Warning,
              aIsResponsive ? "home_responsive" : "home_unresponsive",
              { { "home", aName }, { "unanswered", std::to_string(aHome.mUnanswered) } });
  mHooks.mOnChanged(aName, aIsResponsive);
}

} // namespace papayaspindle::proxy
