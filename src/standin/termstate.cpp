#include "standin/termstate.h"

namespace papayaspindle::standin {

bool
TermState::Raise(std::uint64_t aTerm, const std::string& aKeeper)
{
  if (aKeeper.empty()) {
    return false;
  }
  if (aTerm > mTerm) {
    mTerm = aTerm;
    mRole = v1::MEMBER_ROLE_FENCED;
    mRaisedBy = aKeeper;
    mPrimary.Clear();
    return true;
  }
  // After a Follow in this term another keeper may have promoted the primary.
  return aTerm == mTerm && mRaisedBy == aKeeper && mRole != v1::MEMBER_ROLE_REPLICA;
}

bool
TermState::Promote(std::uint64_t aTerm, const std::string& aKeeper)
{
  if (aTerm != mTerm || aKeeper.empty() || mRaisedBy != aKeeper ||
      mRole == v1::MEMBER_ROLE_REPLICA) {
    return false;
  }
  mRole = v1::MEMBER_ROLE_PRIMARY;
  return true;
}

bool
TermState::Follow(std::uint64_t aTerm, const v1::MemberAddress& aPrimary)
{
  if (aTerm < mTerm || aTerm == 0 || aPrimary.member().empty()) {
    return false;
  }
  if (aTerm == mTerm && mRole == v1::MEMBER_ROLE_PRIMARY) {
    return false;
  }
  if (aTerm == mTerm && mRole == v1::MEMBER_ROLE_REPLICA &&
      aPrimary.member() != mPrimary.member()) {
    return false;
  }
  if (aTerm > mTerm) {
    mRaisedBy.clear();
  }
  mTerm = aTerm;
  mRole = v1::MEMBER_ROLE_REPLICA;
  mPrimary = aPrimary;
  return true;
}

} // namespace papayaspindle::standin
