#include "standin/faultswitches.h"

#include "core/timetypes.h"
#include "standin/callername.h"

#include <algorithm>

namespace papayaspindle::standin {

namespace {

/** How often a waiting call looks whether its caller has given up. */
constexpr std::chrono::milliseconds kCancelPoll{ 10 };

} // namespace

void
FaultSwitches::Set(const v1::FaultSettings& aSettings)
{
  {
    const std::lock_guard lock(mMutex);
    // Setting the switch again silences the connections opened in between.
    if (aSettings.silent_connections()) {
      ++mGeneration;
    }
    mSettings = aSettings;
    if (aSettings.down()) {
      for (grpc::ServerContext* call : mOpenCalls) {
        call->TryCancel();
      }
    }
  }
  mChanged.notify_all();
  if (mOnChange) {
    mOnChange(aSettings);
  }
}

v1::FaultSettings
FaultSwitches::Current() const
{
  const std::lock_guard lock(mMutex);
  return mSettings;
}

void
FaultSwitches::Stop()
{
  {
    const std::lock_guard lock(mMutex);
    mStopping = true;
  }
  mChanged.notify_all();
}

bool
FaultSwitches::IsStopping() const
{
  const std::lock_guard lock(mMutex);
  return mStopping;
}

bool
FaultSwitches::Passes(const std::string& aPeer) const
{
  const std::lock_guard lock(mMutex);
  return PassesLocked(aPeer);
}

bool
FaultSwitches::PassesLocked(const std::string& aPeer) const
{
  const auto& names = mSettings.cut_off_from();
  return !mSettings.down() && !mSettings.frozen() &&
         std::find(names.begin(), names.end(), aPeer) == names.end();
}

bool
FaultSwitches::WaitWhileHeld(Lock& aLock, grpc::ServerContext& aContext) const
{
  const std::string from = CallerName(aContext);
  while (!mStopping && !mSettings.down()) {
    if (PassesLocked(from)) {
      return true;
    }
    if (aContext.IsCancelled()) {
      return false;
    }
    mChanged.wait_for(aLock, kCancelPoll);
  }
  return false;
}

bool
FaultSwitches::AdmitCall(grpc::ServerContext& aContext) const
{
  Lock lock(mMutex);
  return WaitWhileHeld(lock, aContext);
}

bool
FaultSwitches::AdmitAnswer(grpc::ServerContext& aContext) const
{
  const std::chrono::milliseconds delay(Current().delay_ms());
  if (delay.count() > 0 && !Pause(aContext, delay)) {
    return false;
  }
  Lock lock(mMutex);
  return WaitWhileHeld(lock, aContext);
}

void
FaultSwitches::HoldUntilEnded(grpc::ServerContext& aContext) const
{
  Lock lock(mMutex);
  while (!mStopping && !mSettings.down() && !aContext.IsCancelled()) {
    mChanged.wait_for(lock, kCancelPoll);
  }
}

bool
FaultSwitches::Pause(grpc::ServerContext& aContext, std::chrono::microseconds aTime) const
{
  const TimePoint end = Clock::now() + aTime;
  Lock lock(mMutex);
  while (!mStopping && !mSettings.down() && !aContext.IsCancelled()) {
    const TimePoint now = Clock::now();
    if (now >= end) {
      return true;
    }
    mChanged.wait_until(lock, std::min(end, now + kCancelPoll));
  }
  return false;
}

bool
FaultSwitches::TakeLostAnswer()
{
  const std::lock_guard lock(mMutex);
  if (mSettings.lose_answers() == 0) {
    return false;
  }
  mSettings.set_lose_answers(mSettings.lose_answers() - 1);
  return true;
}

std::uint64_t
FaultSwitches::ConnectionGeneration() const
{
  const std::lock_guard lock(mMutex);
  return mGeneration;
}

bool
FaultSwitches::IsSilent(std::uint64_t aGeneration) const
{
  // Once silent, always silent: the switch going off does not bring a connection back.
  const std::lock_guard lock(mMutex);
  return aGeneration < mGeneration;
}

FaultSwitches::OpenCall::OpenCall(FaultSwitches& aSwitches, grpc::ServerContext& aContext)
  : mSwitches(aSwitches)
  , mContext(aContext)
{
  const std::lock_guard lock(mSwitches.mMutex);
  mSwitches.mOpenCalls.insert(&mContext);
}

FaultSwitches::OpenCall::~OpenCall()
{
  const std::lock_guard lock(mSwitches.mMutex);
  mSwitches.mOpenCalls.erase(&mContext);
}

} // namespace papayaspindle::standin
