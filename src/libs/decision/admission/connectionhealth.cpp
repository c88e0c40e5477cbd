#include "decision/admission/connectionhealth.h"

namespace papayaspindle {

void
ConnectionHealth::OnOpened(Key aConnection, const MemberId& aMember, TimePoint aNow)
{
  Entry entry;
  entry.mMember = aMember;
  entry.mOpenedAt = aNow;
  entry.mAnsweredAt = aNow;
  mEntries[aConnection] = entry;
}

void
ConnectionHealth::OnClosed(Key aConnection)
{
  mEntries.erase(aConnection);
}

void
ConnectionHealth::OnAnswer(Key aConnection, TimePoint aNow)
{
  const auto found = mEntries.find(aConnection);
  if (found != mEntries.end()) {
    found->second.mAnsweredAt = aNow;
    found->second.mInDoubt = false;
  }
}

void
ConnectionHealth::Condemn(Key aConnection, Condemnation aReason, TimePoint aSentAt)
{
  const auto found = mEntries.find(aConnection);
  if (found == mEntries.end() || found->second.mReason) {
    return;
  }
  found->second.mReason = aReason;
  if (aReason != Condemnation::Silent) {
    return;
  }
  const MemberId member = found->second.mMember;
  for (auto& [key, entry] : mEntries) {
    const bool sameAge = entry.mMember == member && entry.mOpenedAt <= aSentAt;
    if (sameAge && entry.mAnsweredAt <= aSentAt) {
      entry.mInDoubt = true;
    }
  }
}

ConnectionUse
ConnectionHealth::NextUse(Key aConnection) const
{
  const auto found = mEntries.find(aConnection);
  if (found == mEntries.end() || found->second.mReason) {
    return ConnectionUse::Close;
  }
  return found->second.mInDoubt ? ConnectionUse::ProbeFirst : ConnectionUse::Use;
}

std::optional<Condemnation>
ConnectionHealth::ReasonOf(Key aConnection) const
{
  const auto found = mEntries.find(aConnection);
  return found == mEntries.end() ? std::nullopt : found->second.mReason;
}

} // namespace papayaspindle
