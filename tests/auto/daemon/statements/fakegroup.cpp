#include "daemon/statements/fakegroup.h"

#include "convert/convert.h"

#include <algorithm>

namespace papayaspindle::test {

namespace {

LogPosition
LastOf(const FakeMember& aMember)
{
  return aMember.mLog.empty() ? LogPosition{} : aMember.mLog.back().mPosition;
}

v1::SessionAnswer
Refused(v1::MemberError aError)
{
  v1::SessionAnswer answer;
  answer.set_error(aError);
  return answer;
}

} // namespace

FakeGroup::FakeGroup(ManualClock& aClock)
  : mClock(aClock)
{
  Promote("a", 1, { "b", "c" });
}

void
FakeGroup::Promote(const std::string& aPrimary,
                   std::uint64_t aTerm,
                   const std::vector<std::string>& aFollowers)
{
  const std::lock_guard lock(mMutex);
  auto& primary = Member(aPrimary);
  primary.mTerm = aTerm;
  primary.mIsPrimary = true;
  for (const auto& name : aFollowers) {
    Member(name).mTerm = aTerm;
    Member(name).mIsPrimary = false;
  }
  Append(primary, { {}, "", "" });
}

std::size_t
FakeGroup::CountOf(const std::string& aMember, const std::string& aRequestId)
{
  const auto& log = Member(aMember).mLog;
  return static_cast<std::size_t>(
    std::count_if(log.begin(), log.end(), [&](const FakeEntry& aEntry) {
      return aEntry.mRequestId == aRequestId;
    }));
}

Result<ConnectionId>
FakeGroup::Acquire(const AcquireRequest& aRequest)
{
  const std::lock_guard lock(mMutex);
  if (const auto error = mAcquireErrors.find(aRequest.mMember);
      error != mAcquireErrors.end()) {
    return Error{ error->second, "" };
  }
  mConnections[++mNextConnection] = { aRequest.mMember, false, "" };
  return mNextConnection;
}

Result<v1::SessionAnswer>
FakeGroup::Run(ConnectionId aConnection, v1::SessionRequest aRequest, TimePoint aDeadline)
{
  const RunRecord record{ mConnections.at(aConnection).mMember, aConnection, aRequest };
  Fault fault = Fault::None;
  v1::SessionAnswer answer;
  {
    const std::lock_guard lock(mMutex);
    auto& member = mMembers[record.mMember];
    fault = member.mIsReachable ? Fault::None : Fault::LoseRequest;
    if (!member.mFaults.empty()) {
      fault = member.mFaults.front();
      member.mFaults.pop_front();
    }
    if (fault == Fault::None || fault == Fault::LoseAnswer) {
      mRuns.push_back(record);
      answer = Answer(mConnections.at(aConnection), aRequest);
      answer.set_term(member.mTerm);
      if (!answer.has_position()) {
        *answer.mutable_position() = ToMessage(LastOf(member));
      }
    }
  }
  if (mAfterRun) {
    mAfterRun(record);
  }
  if (fault == Fault::Unreachable) {
    return Error{ ErrorKind::MemberUnreachable, "" };
  }
  if (fault != Fault::None) {
    mClock.Advance(std::max(aDeadline - mClock.Now(), Duration::zero()));
    return Error{ ErrorKind::OutcomeUnknown, "" };
  }
  return answer;
}

void
FakeGroup::Release(ConnectionId aConnection, ConnectionState aState)
{
  const std::lock_guard lock(mMutex);
  if (aState == ConnectionState::Unknown) {
    mCondemned.push_back(aConnection);
  }
  mConnections.erase(aConnection);
}

v1::SessionAnswer
FakeGroup::Answer(Connection& aConnection, const v1::SessionRequest& aRequest)
{
  auto& member = mMembers[aConnection.mMember];
  if (aRequest.term() != member.mTerm) {
    return Refused(v1::MEMBER_ERROR_WRONG_TERM);
  }
  const auto kind = aRequest.kind();
  const std::string& statement = aRequest.statement();
  const bool isCommit = kind == v1::STATEMENT_KIND_COMMIT;
  if (kind == v1::STATEMENT_KIND_BEGIN || kind == v1::STATEMENT_KIND_ROLLBACK) {
    aConnection = { aConnection.mMember, kind == v1::STATEMENT_KIND_BEGIN, "" };
    return {};
  }
  if (!isCommit && statement == "FAIL") {
    return Refused(v1::MEMBER_ERROR_STATEMENT_FAILED);
  }
  if (!isCommit && !aRequest.write()) {
    v1::SessionAnswer answer;
    answer.add_rows()->add_columns(ValueOf(member, statement.substr(4)));
    return answer;
  }
  if (!member.mIsPrimary) {
    return Refused(v1::MEMBER_ERROR_NOT_PRIMARY);
  }
  if (!isCommit && aConnection.mHasTransaction) {
    aConnection.mWrites += statement + ";";
    return {};
  }
  const std::string written = isCommit ? aConnection.mWrites : statement + ";";
  aConnection.mHasTransaction = false;
  for (const auto& entry : member.mLog) {
    if (!entry.mRequestId.empty() && entry.mRequestId == aRequest.request_id()) {
      if (entry.mStatement != written) {
        return Refused(v1::MEMBER_ERROR_REQUEST_ID_CONFLICT);
      }
      v1::SessionAnswer answer;
      *answer.mutable_position() = ToMessage(entry.mPosition);
      answer.set_repeated(true);
      answer.set_affected(1);
      return answer;
    }
  }
  return written.empty() ? v1::SessionAnswer()
                         : Append(member, { {}, aRequest.request_id(), written });
}

v1::SessionAnswer
FakeGroup::Append(FakeMember& aMember, const FakeEntry& aEntry)
{
  auto entry = aEntry;
  entry.mPosition = { aMember.mTerm, aMember.mLog.size() + 1 };
  aMember.mLog.push_back(entry);
  Replicate(aMember);
  v1::SessionAnswer answer;
  *answer.mutable_position() = ToMessage(entry.mPosition);
  answer.set_affected(1);
  return answer;
}

void
FakeGroup::Replicate(const FakeMember& aPrimary)
{
  for (auto& [id, member] : mMembers) {
    const bool follows = !member.mIsPrimary && member.mTerm == aPrimary.mTerm;
    if (follows && member.mReplicates && member.mIsReachable) {
      member.mLog = aPrimary.mLog;
    }
  }
}

std::string
FakeGroup::ValueOf(const FakeMember& aMember, const std::string& aKey)
{
  std::string value;
  const std::string prefix = "PUT " + aKey + " ";
  for (const auto& entry : aMember.mLog) {
    const auto at = entry.mStatement.find(prefix);
    if (at != std::string::npos) {
      const auto begin = at + prefix.size();
      value = entry.mStatement.substr(begin, entry.mStatement.find(';', at) - begin);
    }
  }
  return value;
}

v1::StatusReply
FakeGroup::StatusOf(const MemberId& aMember)
{
  const auto& member = mMembers[aMember];
  v1::StatusReply status;
  status.set_member(aMember.Text());
  status.set_term(member.mTerm);
  status.set_role(member.mIsPrimary ? v1::MEMBER_ROLE_PRIMARY : v1::MEMBER_ROLE_REPLICA);
  *status.mutable_last() = ToMessage(LastOf(member));
  *status.mutable_applied() = ToMessage(LastOf(member));
  return status;
}

Result<v1::StatusReply>
FakeGroup::Status(std::string_view aAddress, std::chrono::milliseconds)
{
  const std::lock_guard lock(mMutex);
  const MemberId member{ std::string(aAddress) };
  if (!mMembers[member].mIsReachable) {
    return Error{ ErrorKind::MemberUnreachable, "" };
  }
  return StatusOf(member);
}

Result<v1::StatusReply>
FakeGroup::WaitForPosition(std::string_view aAddress,
                           const LogPosition&,
                           PositionReached,
                           std::chrono::milliseconds aTimeout)
{
  return Status(aAddress, aTimeout);
}

Result<v1::FindRequestReply>
FakeGroup::FindRequest(std::string_view aAddress,
                       const v1::FindRequestRequest& aRequest,
                       std::chrono::milliseconds)
{
  const std::lock_guard lock(mMutex);
  const MemberId id{ std::string(aAddress) };
  if (!mMembers[id].mIsReachable) {
    return Error{ ErrorKind::MemberUnreachable, "" };
  }
  v1::FindRequestReply reply;
  *reply.mutable_status() = StatusOf(id);
  for (const auto& entry : mMembers[id].mLog) {
    if (entry.mRequestId == aRequest.request_id()) {
      reply.set_found(true);
      reply.set_affected(1);
      *reply.mutable_position() = ToMessage(entry.mPosition);
    }
  }
  return reply;
}

Result<v1::RaiseTermReply>
FakeGroup::RaiseTerm(std::string_view,
                     const v1::RaiseTermRequest&,
                     std::chrono::milliseconds)
{
  return Error{ ErrorKind::Internal, "" };
}

Result<v1::PromoteReply>
FakeGroup::Promote(std::string_view, const v1::PromoteRequest&, std::chrono::milliseconds)
{
  return Error{ ErrorKind::Internal, "" };
}

Result<v1::FollowReply>
FakeGroup::Follow(std::string_view, const v1::FollowRequest&, std::chrono::milliseconds)
{
  return Error{ ErrorKind::Internal, "" };
}

} // namespace papayaspindle::test
