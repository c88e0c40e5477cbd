#pragma once

#include "interfaces/membercontrol.h"

#include <functional>
#include <map>
#include <string>

/** Members by address that follow proto/backend.proto; calls to others are refused. */
class FakeMemberControl : public papayaspindle::MemberControl
{
public:
  struct Member
  {
    papayaspindle::v1::StatusReply mStatus;
    std::string mRaisedBy;
    /** Error of every call; empty for none. */
    std::string mError;
  };

  papayaspindle::Result<papayaspindle::v1::StatusReply> Status(
    std::string_view aAddress,
    std::chrono::milliseconds /*aTimeout*/) override
  {
    Member& member = Take("Status", aAddress);
    return Answer(member, member.mStatus);
  }

  papayaspindle::Result<papayaspindle::v1::StatusReply> WaitForPosition(
    std::string_view aAddress,
    const papayaspindle::LogPosition& /*aPosition*/,
    papayaspindle::PositionReached /*aReached*/,
    std::chrono::milliseconds aTimeout) override
  {
    return Status(aAddress, aTimeout);
  }

  papayaspindle::Result<papayaspindle::v1::RaiseTermReply> RaiseTerm(
    std::string_view aAddress,
    const papayaspindle::v1::RaiseTermRequest& aRequest,
    std::chrono::milliseconds /*aTimeout*/) override
  {
    Member& member = Take("RaiseTerm", aAddress);
    const bool granted = aRequest.term() > member.mStatus.term();
    if (granted && member.mError.empty()) {
      member.mStatus.set_term(aRequest.term());
      member.mStatus.set_role(papayaspindle::v1::MEMBER_ROLE_FENCED);
      member.mRaisedBy = aRequest.keeper();
    }
    papayaspindle::v1::RaiseTermReply reply;
    reply.set_granted(granted);
    return Answer(member, WithStatus(reply, member));
  }

  papayaspindle::Result<papayaspindle::v1::PromoteReply> Promote(
    std::string_view aAddress,
    const papayaspindle::v1::PromoteRequest& aRequest,
    std::chrono::milliseconds /*aTimeout*/) override
  {
    Member& member = Take("Promote", aAddress);
    const bool promoted =
      aRequest.term() == member.mStatus.term() && aRequest.keeper() == member.mRaisedBy;
    if (promoted && member.mError.empty()) {
      member.mStatus.set_role(papayaspindle::v1::MEMBER_ROLE_PRIMARY);
    }
    papayaspindle::v1::PromoteReply reply;
    reply.set_promoted(promoted);
    return Answer(member, WithStatus(reply, member));
  }

  papayaspindle::Result<papayaspindle::v1::FollowReply> Follow(
    std::string_view aAddress,
    const papayaspindle::v1::FollowRequest& aRequest,
    std::chrono::milliseconds /*aTimeout*/) override
  {
    Member& member = Take("Follow", aAddress);
    const bool follows = aRequest.term() >= member.mStatus.term();
    if (follows && member.mError.empty()) {
      member.mStatus.set_term(aRequest.term());
      member.mStatus.set_role(papayaspindle::v1::MEMBER_ROLE_REPLICA);
      member.mStatus.set_primary(aRequest.primary().member());
    }
    papayaspindle::v1::FollowReply reply;
    reply.set_following(follows);
    return Answer(member, WithStatus(reply, member));
  }

  papayaspindle::Result<papayaspindle::v1::FindRequestReply> FindRequest(
    std::string_view aAddress,
    const papayaspindle::v1::FindRequestRequest& /*aRequest*/,
    std::chrono::milliseconds /*aTimeout*/) override
  {
    return Answer(Take("FindRequest", aAddress), papayaspindle::v1::FindRequestReply());
  }

  std::map<std::string, Member> mMembers;
  /** Number of calls, by "method address". */
  std::map<std::string, int> mCalls;

private:
  Member& Take(std::string_view aMethod, std::string_view aAddress)
  {
    ++mCalls[std::string(aMethod) + " " + std::string(aAddress)];
    return mMembers[std::string(aAddress)];
  }

  template<typename Reply>
  static Reply WithStatus(Reply aReply, const Member& aMember)
  {
    *aReply.mutable_status() = aMember.mStatus;
    return aReply;
  }

  template<typename Reply>
  static papayaspindle::Result<Reply> Answer(const Member& aMember, const Reply& aReply)
  {
    if (!aMember.mError.empty()) {
      return papayaspindle::Error{ papayaspindle::ErrorKind::OutcomeUnknown,
                                   aMember.mError };
    }
    return aReply;
  }
};
