#include "standin/member.h"

#include "convert/convert.h"

#include <algorithm>
#include <utility>

namespace papayaspindle::standin {

namespace {

/** How often a waiting call looks whether its caller has given up. */
constexpr std::chrono::milliseconds kEndedPoll{ 20 };
constexpr std::size_t kBatchEntries = 256;
constexpr std::size_t kDefaultLogEntries = 1000;

} // namespace

Member::Member(std::string aMember, std::string aAvailabilityZone)
  : mState(std::move(aMember), std::move(aAvailabilityZone))
{
  mApplier = std::thread([this] { ApplyLoop(); });
}

Member::~Member()
{
  {
    const std::lock_guard lock(mMutex);
    mStopping = true;
  }
  mChanged.notify_all();
  mApplier.join();
}

bool
Member::OpenJournal(const std::string& aPath)
{
  const std::lock_guard lock(mMutex);
  const bool isRead = mJournal.Open(
    aPath, [this](const v1::JournalRecord& aRecord) { return mState.Restore(aRecord); });
  mState.SetJournal(
    [this](const v1::JournalRecord& aRecord) { mJournal.Write(aRecord); });
  return isRead;
}

void
Member::SetReplicationLag(std::chrono::milliseconds aLag)
{
  {
    const std::lock_guard lock(mMutex);
    mLag = aLag;
  }
  mChanged.notify_all();
}

void
Member::ApplyLoop()
{
  std::unique_lock lock(mMutex);
  while (!mStopping) {
    const LogPosition before = mState.Applied();
    const auto next = mState.ApplyDue(Clock::now(), mLag);
    if (mState.Applied() != before) {
      mChanged.notify_all();
    }
    if (next.has_value()) {
      mChanged.wait_until(lock, *next);
    } else {
      mChanged.wait(lock);
    }
  }
}

v1::StatusReply
Member::Status() const
{
  const std::lock_guard lock(mMutex);
  return mState.Status(Clock::now());
}

v1::RaiseTermReply
Member::Raise(const v1::RaiseTermRequest& aRequest)
{
  v1::RaiseTermReply reply;
  {
    const std::lock_guard lock(mMutex);
    reply.set_granted(mState.Raise(aRequest.term(), aRequest.keeper()));
    *reply.mutable_status() = mState.Status(Clock::now());
  }
  mChanged.notify_all();
  return reply;
}

v1::PromoteReply
Member::Promote(const v1::PromoteRequest& aRequest)
{
  v1::PromoteReply reply;
  {
    const std::lock_guard lock(mMutex);
    reply.set_promoted(mState.Promote(aRequest.term(), aRequest.keeper()));
    *reply.mutable_status() = mState.Status(Clock::now());
  }
  mChanged.notify_all();
  return reply;
}

v1::FollowReply
Member::Follow(const v1::FollowRequest& aRequest)
{
  v1::FollowReply reply;
  {
    const std::lock_guard lock(mMutex);
    reply.set_following(mState.Follow(aRequest.term(), aRequest.primary(), Clock::now()));
    *reply.mutable_status() = mState.Status(Clock::now());
  }
  mChanged.notify_all();
  return reply;
}

v1::FindRequestReply
Member::FindRequest(const std::string& aRequestId) const
{
  const std::lock_guard lock(mMutex);
  v1::FindRequestReply reply;
  if (const v1::LogEntry* entry = mState.Log().FindRequest(aRequestId)) {
    reply.set_found(true);
    *reply.mutable_position() = entry->position();
    reply.set_affected(entry->affected());
  }
  *reply.mutable_status() = mState.Status(Clock::now());
  return reply;
}

v1::SessionAnswer
Member::Run(SessionState& aSession, const v1::SessionRequest& aRequest)
{
  v1::SessionAnswer answer;
  {
    const std::lock_guard lock(mMutex);
    answer = mState.Run(aSession, aRequest);
  }
  if (aRequest.write() || aRequest.kind() == v1::STATEMENT_KIND_COMMIT) {
    mChanged.notify_all();
  }
  return answer;
}

bool
Member::HasReached(const v1::WaitForPositionRequest& aRequest) const
{
  const LogPosition wanted = FromMessage(aRequest.position());
  return (aRequest.received() ? mState.Log().Last() : mState.Applied()) >= wanted;
}

void
Member::WaitForPosition(const v1::WaitForPositionRequest& aRequest,
                        const EndedHook& aEnded)
{
  const TimePoint end = Clock::now() + std::chrono::milliseconds(aRequest.timeout_ms());
  std::unique_lock lock(mMutex);
  while (!mStopping && !HasReached(aRequest) && !aEnded()) {
    const TimePoint now = Clock::now();
    if (now >= end) {
      return;
    }
    mChanged.wait_until(lock, std::min(end, now + kEndedPoll));
  }
}

std::optional<v1::ReplicateBatch>
Member::FirstBatch(const v1::ReplicateRequest& aRequest)
{
  std::vector<LogPosition> theirEnds;
  for (const v1::LogPosition& end : aRequest.term_ends()) {
    theirEnds.push_back(FromMessage(end));
  }
  const std::lock_guard lock(mMutex);
  if (!mState.IsPrimaryOf(aRequest.term())) {
    return std::nullopt;
  }
  v1::ReplicateBatch batch;
  batch.set_term(aRequest.term());
  *batch.mutable_common() = ToMessage(mState.Log().CommonWith(theirEnds));
  return batch;
}

std::optional<v1::ReplicateBatch>
Member::NextBatch(std::uint64_t aTerm,
                  std::uint64_t aAfterIndex,
                  std::chrono::milliseconds aTime)
{
  std::unique_lock lock(mMutex);
  mChanged.wait_for(lock, aTime, [&] {
    return mStopping || !mState.IsPrimaryOf(aTerm) ||
           mState.Log().Last().mIndex > aAfterIndex;
  });
  if (mStopping || !mState.IsPrimaryOf(aTerm)) {
    return std::nullopt;
  }
  v1::ReplicateBatch batch;
  batch.set_term(aTerm);
  for (v1::LogEntry& entry : mState.Log().EntriesAfter(aAfterIndex, kBatchEntries)) {
    *batch.add_entries() = std::move(entry);
  }
  return batch;
}

std::optional<ReplicationSource>
Member::Source() const
{
  const std::lock_guard lock(mMutex);
  if (mState.Terms().Role() != v1::MEMBER_ROLE_REPLICA) {
    return std::nullopt;
  }
  return ReplicationSource{ mState.Terms().Term(),
                            mState.Terms().Primary(),
                            mState.Log().TermEnds() };
}

bool
Member::IsSource(const ReplicationSource& aSource) const
{
  const std::lock_guard lock(mMutex);
  return mState.Terms().Role() == v1::MEMBER_ROLE_REPLICA &&
         mState.Terms().Term() == aSource.mTerm &&
         mState.Terms().Primary().address() == aSource.mPrimary.address();
}

bool
Member::Receive(const v1::ReplicateBatch& aBatch)
{
  {
    const std::lock_guard lock(mMutex);
    const TimePoint now = Clock::now();
    if (!mState.Receive(aBatch, now)) {
      return false;
    }
    // Without a lag the entries are visible before anyone can see that they arrived.
    if (mLag == Duration::zero()) {
      mState.ApplyDue(now, mLag);
    }
  }
  mChanged.notify_all();
  return true;
}

void
Member::ReadLog(const v1::ReadLogRequest& aRequest, v1::ReadLogReply& aReply) const
{
  const std::size_t limit = aRequest.limit() == 0 ? kDefaultLogEntries : aRequest.limit();
  const std::lock_guard lock(mMutex);
  for (v1::LogEntry& entry : mState.Log().EntriesAfter(aRequest.after_index(), limit)) {
    *aReply.add_entries() = std::move(entry);
  }
  const std::uint64_t lastShown =
    aRequest.after_index() + static_cast<std::uint64_t>(aReply.entries_size());
  aReply.set_more(lastShown < mState.Log().Last().mIndex);
  *aReply.mutable_status() = mState.Status(Clock::now());
}

} // namespace papayaspindle::standin
