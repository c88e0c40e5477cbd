#pragma once

#include "backend.pb.h"

#include <cstdint>
#include <string>

namespace papayaspindle::standin {

/** A member's term, its role in it, and who may change them. */
class TermState
{
public:
  [[nodiscard]] std::uint64_t Term() const { return mTerm; }
  [[nodiscard]] v1::MemberRole Role() const { return mRole; }
  /** @return whom a replica follows */
  [[nodiscard]] const v1::MemberAddress& Primary() const { return mPrimary; }

  /**
   * Fences the member in a strictly higher term. A repeat by the same keeper in the same
   * term is granted again as long as that term made the member follow nobody.
   *
   * @return whether the term was granted to the keeper
   */
  bool Raise(std::uint64_t aTerm, const std::string& aKeeper);
  /**
   * Makes the member the primary, in the term that this keeper raised.
   *
   * @return whether it is the primary of that term now
   */
  bool Promote(std::uint64_t aTerm, const std::string& aKeeper);
  /**
   * Makes the member a replica in its own or a higher term. In its own term a primary
   * refuses, and a replica refuses to follow another member, because a term has one
   * primary.
   *
   * @return whether it follows that primary now
   */
  bool Follow(std::uint64_t aTerm, const v1::MemberAddress& aPrimary);
  /** Takes the last term of an earlier process. No keeper is granted that term again, and
   * none can promote in it, since who raised it is not kept. */
  void Restore(std::uint64_t aTerm) { mTerm = aTerm; }

private:
  std::uint64_t mTerm = 0;
  v1::MemberRole mRole = v1::MEMBER_ROLE_FENCED;
  std::string mRaisedBy;
  v1::MemberAddress mPrimary;
};

} // namespace papayaspindle::standin
