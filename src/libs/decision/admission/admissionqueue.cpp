#include "decision/admission/admissionqueue.h"

#include <algorithm>
#include <iterator>

namespace papayaspindle {

namespace {

/** Share of the places that only writes may take: a quarter. */
constexpr std::size_t kWritePlacesDivisor = 4;
/** Weight of the newest service time in the moving average: an eighth. */
constexpr int kServiceTimeDivisor = 8;

} // namespace

AdmissionQueue::AdmissionQueue(const AdmissionSettings& aSettings)
  : mSettings(aSettings)
  , mServiceTime(aSettings.mFirstServiceTime)
{
}

void
AdmissionQueue::SetServers(std::uint32_t aServers)
{
  mServers = std::max<std::uint32_t>(aServers, 1);
}

Result<TicketId>
AdmissionQueue::Enter(const AdmissionRequest& aRequest,
                      std::uint32_t aIdle,
                      TimePoint aNow)
{
  if (aNow >= aRequest.mDeadline) {
    return Error{ ErrorKind::DeadlineBeforeStart, "the deadline has passed" };
  }
  if (!HasPlace(aRequest.mWrite)) {
    return Error{ ErrorKind::Overloaded, "the member's queue is full" };
  }
  // A request that starts just before its deadline could not be answered in time, so the
  // time that it takes to serve counts too unless it starts at once.
  const Duration wait = PredictedWait(aRequest.mCaller, aRequest.mDeadline, aIdle);
  const Duration needed = wait == Duration::zero() ? wait : wait + mServiceTime;
  if (needed > aRequest.mDeadline - aNow) {
    return Error{ ErrorKind::Overloaded, "the predicted wait passes the deadline" };
  }
  const TicketId ticket = mNextTicket++;
  mTickets[ticket] = aRequest;
  mReads += aRequest.mWrite ? 0 : 1;
  CallerQueue& queue = mCallers[aRequest.mCaller];
  if (queue.empty()) {
    mTurns.push_back(aRequest.mCaller);
  }
  queue.insert({ aRequest.mDeadline, ticket });
  return ticket;
}

std::vector<TicketId>
AdmissionQueue::Expire(TimePoint aNow)
{
  std::vector<TicketId> expired;
  for (const auto& [caller, queue] : mCallers) {
    for (const auto& [deadline, ticket] : queue) {
      if (deadline > aNow) {
        break;
      }
      expired.push_back(ticket);
    }
  }
  for (const TicketId ticket : expired) {
    Remove(ticket);
  }
  return expired;
}

std::optional<TicketId>
AdmissionQueue::Next()
{
  if (mTurns.empty()) {
    return std::nullopt;
  }
  const CallerId caller = mTurns.front();
  const TicketId ticket = mCallers[caller].begin()->second;
  mTurns.pop_front();
  mTurns.push_back(caller);
  Remove(ticket);
  return ticket;
}

bool
AdmissionQueue::Leave(TicketId aTicket)
{
  if (!mTickets.contains(aTicket)) {
    return false;
  }
  Remove(aTicket);
  return true;
}

void
AdmissionQueue::OnServed(Duration aServiceTime)
{
  mServiceTime += (aServiceTime - mServiceTime) / kServiceTimeDivisor;
}

std::size_t
AdmissionQueue::Waiting() const
{
  return mTickets.size();
}

Duration
AdmissionQueue::PredictedWait(const CallerId& aCaller,
                              TimePoint aDeadline,
                              std::uint32_t aIdle) const
{
  if (aIdle > mTickets.size()) {
    return Duration::zero();
  }
  std::size_t own = 0;
  const auto known = mCallers.find(aCaller);
  if (known != mCallers.end()) {
    const auto later = known->second.upper_bound({ aDeadline, mNextTicket });
    own = static_cast<std::size_t>(std::distance(known->second.begin(), later));
  }
  // Callers take turns, so each other caller has at most own + 1 requests ahead.
  std::size_t ahead = own;
  for (const auto& [caller, queue] : mCallers) {
    ahead += caller == aCaller ? 0 : std::min(queue.size(), own + 1);
  }
  return mServiceTime * static_cast<std::int64_t>(ahead + 1) / mServers;
}

bool
AdmissionQueue::HasPlace(bool aWrite) const
{
  if (mTickets.size() >= mSettings.mPlaces) {
    return false;
  }
  const std::size_t kept = mSettings.mPlaces / kWritePlacesDivisor;
  return aWrite || mReads < mSettings.mPlaces - kept;
}

void
AdmissionQueue::Remove(TicketId aTicket)
{
  const AdmissionRequest request = mTickets[aTicket];
  mTickets.erase(aTicket);
  mReads -= request.mWrite ? 0 : 1;
  CallerQueue& queue = mCallers[request.mCaller];
  queue.erase({ request.mDeadline, aTicket });
  if (queue.empty()) {
    mCallers.erase(request.mCaller);
    std::erase(mTurns, request.mCaller);
  }
}

} // namespace papayaspindle
