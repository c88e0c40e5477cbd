#include "daemon/statements/membersession.h"

#include "convert/convert.h"
#include "daemon/statements/freshnessboard.h"
#include "daemon/statements/memberloads.h"
#include "observe/tracer.h"

#include <algorithm>
#include <utility>

namespace papayaspindle {

Result<std::unique_ptr<MemberSession>>
MemberSession::Open(const DataPath& aPath,
                    HomeRequest& aRequest,
                    const SessionTarget& aTarget)
{
  const auto connection = aPath.mConnections.Acquire({ aRequest.mGroup.mGroup,
                                                       aTarget.mMember,
                                                       aRequest.mCaller,
                                                       aTarget.mWrite,
                                                       aRequest.mDeadline,
                                                       aRequest.mTraceparent });
  if (!IsOk(connection)) {
    return ErrorOf(connection);
  }
  return Adopt(aPath, aRequest, aTarget, ValueOf(connection));
}

std::unique_ptr<MemberSession>
MemberSession::Adopt(const DataPath& aPath,
                     HomeRequest& aRequest,
                     const SessionTarget& aTarget,
                     ConnectionId aConnection)
{
  return std::unique_ptr<MemberSession>(
    new MemberSession(aPath, aRequest, aTarget, aConnection));
}

MemberSession::MemberSession(const DataPath& aPath,
                             HomeRequest& aRequest,
                             SessionTarget aTarget,
                             ConnectionId aConnection)
  : mPath(aPath)
  , mRequest(aRequest)
  , mTarget(std::move(aTarget))
  , mConnection(aConnection)
{
}

MemberSession::~MemberSession()
{
  Release();
}

Result<v1::SessionAnswer>
MemberSession::Run(v1::SessionRequest aMessage, TimePoint aDeadline)
{
  auto span = mPath.mTracer.Start("member_statement", mRequest.mTraceparent);
  span.SetAttribute("member", mTarget.mMember.Text());
  aMessage.set_term(mTarget.mTerm);
  const auto sentAt = mPath.mHooks.mNow();
  mPath.mLoads.Add(mTarget.mMember);
  auto answer = mPath.mConnections.Run(mConnection, std::move(aMessage), aDeadline);
  mPath.mLoads.Remove(mTarget.mMember);
  AddHop(mPath.mHooks.mNow() - sentAt);
  if (!IsOk(answer)) {
    span.SetError(ErrorOf(answer).mMessage);
    mIsClean = false;
    return answer;
  }
  NoteAnswer(ValueOf(answer), sentAt);
  return answer;
}

void
MemberSession::Release()
{
  if (!mIsOpen) {
    return;
  }
  mIsOpen = false;
  mPath.mConnections.Release(
    mConnection, mIsClean ? ConnectionState::Clean : ConnectionState::Unknown);
}

ConnectionId
MemberSession::Detach()
{
  mIsOpen = false;
  return mConnection;
}

void
MemberSession::AddHop(Duration aTook)
{
  v1::Hop hop;
  hop.set_instance(mTarget.mMember.Text());
  hop.set_role(mTarget.mIsPrimary ? "primary" : "replica");
  for (const auto& member : mRequest.mGroup.mMembers) {
    if (member.mMember == mTarget.mMember) {
      hop.set_availability_zone(member.mAvailabilityZone.Text());
    }
  }
  const auto took = std::chrono::duration_cast<std::chrono::microseconds>(aTook);
  hop.set_duration_us(
    static_cast<std::uint64_t>(std::max<std::int64_t>(took.count(), 0)));
  mRequest.mHops.push_back(std::move(hop));
}

void
MemberSession::NoteAnswer(const v1::SessionAnswer& aAnswer, TimePoint aSentAt)
{
  const bool hasRun = aAnswer.error() == v1::MEMBER_ERROR_NONE ||
                      aAnswer.error() == v1::MEMBER_ERROR_STATEMENT_FAILED;
  // A repeated write's position lies before later writes, so it proves no age.
  if (!hasRun || aAnswer.repeated() || aAnswer.term() != mTarget.mTerm) {
    return;
  }
  const auto position = FromMessage(aAnswer.position());
  mPath.mFreshness.OnAnswer(mRequest.mGroup.mGroup,
                            { mTarget.mMember,
                              aAnswer.term(),
                              mTarget.mIsPrimary,
                              false,
                              position,
                              position,
                              aSentAt });
}

} // namespace papayaspindle
