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
    found->second.mNeedsProbe = false;
  }
}

void
ConnectionHealth::Invalidate(Key aConnection,
                             InvalidationReason aReason,
                             TimePoint aSentAt)
{
  const auto found = mEntries.find(aConnection);
  if (found == mEntries.end() || found->second.mInvalidationReason) {
    return;
  }
  found->second.mInvalidationReason = aReason;
  if (aReason != InvalidationReason::Unresponsive) {
    return;
  }
  const MemberId member = found->second.mMember;
  for (auto& [key, entry] : mEntries) {
    const bool wasOpen = entry.mMember == member && entry.mOpenedAt <= aSentAt;
    if (wasOpen && entry.mAnsweredAt <= aSentAt) {
      entry.mNeedsProbe = true;
    }
  }
}

ConnectionUse
ConnectionHealth::NextUse(Key aConnection) const
{
  const auto found = mEntries.find(aConnection);
  if (found == mEntries.end() || found->second.mInvalidationReason) {
    return ConnectionUse::Close;
  }
  return found->second.mNeedsProbe ? ConnectionUse::ProbeFirst : ConnectionUse::Use;
}

std::optional<InvalidationReason>
ConnectionHealth::InvalidationReasonOf(Key aConnection) const
{
  const auto found = mEntries.find(aConnection);
  return found == mEntries.end() ? std::nullopt : found->second.mInvalidationReason;
}

} // namespace papayaspindle
