#include "decision/admission/admissionqueue.h"

#include <algorithm>
#include <iterator>

namespace papayaspindle {

namespace {

/** A quarter of the queue is reserved for writes. */
constexpr std::size_t kWriteReserveDivisor = 4;
/** The latest service time has a weight of an eighth in the moving average. */
constexpr int kServiceTimeDivisor = 8;

} // namespace

AdmissionQueue::AdmissionQueue(const AdmissionSettings& aSettings)
  : mSettings(aSettings)
  , mServiceTime(aSettings.mInitialServiceTime)
{
}

void
AdmissionQueue::SetConcurrency(std::uint32_t aServers)
{
  mConcurrency = std::max<std::uint32_t>(aServers, 1);
}

Result<TicketId>
AdmissionQueue::Enter(const AdmissionRequest& aRequest,
                      std::uint32_t aIdle,
                      TimePoint aNow)
{
  if (aNow >= aRequest.mDeadline) {
    return Error{ ErrorKind::DeadlineBeforeStart, "the deadline has passed" };
  }
  if (!HasCapacityFor(aRequest.mWrite)) {
    return Error{ ErrorKind::Overloaded, "the member's queue is full" };
  }
  // A request that starts just before its deadline would be answered too late. Therefore
  // the service time counts too, unless the request starts immediately.
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
    mCallerRotation.push_back(aRequest.mCaller);
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
  if (mCallerRotation.empty()) {
    return std::nullopt;
  }
  const CallerId caller = mCallerRotation.front();
  const TicketId ticket = mCallers[caller].begin()->second;
  mCallerRotation.pop_front();
  mCallerRotation.push_back(caller);
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
AdmissionQueue::UpdateServiceTime(Duration aServiceTime)
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
  // Callers take turns, so at most own + 1 requests of each other caller run before.
  std::size_t ahead = own;
  for (const auto& [caller, queue] : mCallers) {
    ahead += caller == aCaller ? 0 : std::min(queue.size(), own + 1);
  }
  return mServiceTime * static_cast<std::int64_t>(ahead + 1) / mConcurrency;
}

bool
AdmissionQueue::HasCapacityFor(bool aWrite) const
{
  if (mTickets.size() >= mSettings.mMaxWaiting) {
    return false;
  }
  const std::size_t reserved = mSettings.mMaxWaiting / kWriteReserveDivisor;
  return aWrite || mReads < mSettings.mMaxWaiting - reserved;
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
    std::erase(mCallerRotation, request.mCaller);
  }
}

} // namespace papayaspindle
