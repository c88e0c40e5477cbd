#include "proxy/leadership/leasetimes.h"
#include "proxy/leadership/promotioncoordinator.h"
#include "proxy/leadership/promotiontimes.h"

#include <utility>

namespace papayaspindle::proxy {

std::vector<std::string>
PromotionCoordinator::AllMembers(const std::string& aGroup,
                                 const GroupPromotion& aPromotion) const
{
  const std::vector<MemberEntry> listed = mHooks.mMembers(aGroup);
  std::vector<std::string> members = aPromotion.mRoster.Departed(listed);
  for (const MemberEntry& member : listed) {
    members.push_back(member.mId);
  }
  return members;
}

void
PromotionCoordinator::UpdateRoster(const std::string& aGroup,
                                   GroupPromotion& aPromotion,
                                   TimePoint aNow)
{
  const std::string key = ReplicaRosterKey(aGroup);
  const SeenRow* seen = FindRow(key);
  const std::string stored = seen == nullptr ? std::string() : seen->mRow.mValue;
  if (aNow >= aPromotion.mEarlierRostersUntil) {
    aPromotion.mEarlierRosters.clear();
  }
  std::string known = stored;
  for (const std::string& earlier : aPromotion.mEarlierRosters) {
    known += " " + earlier;
  }
  aPromotion.mRoster.Update(mHooks.mMembers(aGroup), known, aNow);
  if (aPromotion.mRoster.StoredValue() == stored || aNow < aPromotion.mRosterWriteAt) {
    return;
  }
  aPromotion.mRosterWriteAt = aNow + kRosterWriteInterval;
  StoredRow row;
  row.mTable = kCoordinationTable;
  row.mKey = key;
  row.mValue = aPromotion.mRoster.StoredValue();
  row.mRevision = seen == nullptr ? 0 : seen->mRow.mRevision;
  row.mIncarnation = seen == nullptr ? mIncarnation : seen->mRow.mIncarnation;
  mStore.mWrite({ row }, [this, aGroup](const WriteResult& aResult) {
    // After a conflict or a failure, the write is repeated with the row that the feed
    // delivers.
    if (std::holds_alternative<StoreFailure>(aResult)) {
      mHooks.mLog(LogLevel::Warning, "roster_not_written", { { "group", aGroup } });
    }
  });
}

std::optional<LeadershipRow>
PromotionCoordinator::PauseRowOf(const std::string& aGroup) const
{
  if (FindRow(LeadershipKey(aGroup)) != nullptr || mIncarnation == 0 || !mHasRows) {
    return LeadershipOf(aGroup);
  }
  LeadershipRow settled;
  settled.mToken = NewestToken(aGroup);
  settled.mHolder = mInstance;
  settled.mState = LeadershipState::Settled;
  return settled;
}

void
PromotionCoordinator::CheckPauses(const std::string& aGroup,
                                  GroupPromotion& aPromotion,
                                  TimePoint aNow)
{
  const SeenRow* seen = FindRow(LeadershipKey(aGroup));
  const auto row = PauseRowOf(aGroup);
  PauseCheck& check = aPromotion.mPauseCheck;
  if (!NeedsTransfer(aGroup) || !row ||
      (seen != nullptr && aNow - seen->mSeenAt < kMinClaimInterval)) {
    return;
  }
  // The row of a promotion that has succeeded may still announce the call.
  const bool mayBeCalled =
    row->mState == LeadershipState::Calling && aNow - seen->mSeenAt < kLateCallWindow;
  if (row->mState == LeadershipState::Claimed || mayBeCalled) {
    return;
  }
  const StoreRevision version = VersionOf(seen);
  if (check.mVersion != version) {
    check = PauseCheck();
    check.mVersion = version;
  }
  EndPauses(aGroup, aPromotion, aNow);
  if (aNow < check.mNextAt) {
    return;
  }
  check.mNextAt = aNow + kPauseCheckInterval;
  for (const MemberEntry& member : mHooks.mMembers(aGroup)) {
    if (check.mReceiving.contains(member.mId) &&
        (check.mIsLeaderConfirmed || member.mId != row->mLeader)) {
      continue;
    }
    mHooks.mSendCommand(member.mId,
                        { .mKind = CommandKind::Status },
                        kDemoteTimeout,
                        aNow,
                        [this, aGroup, id = member.mId, version = check.mVersion](
                          const std::optional<MemberReply>& aReply) {
                          OnPauseCheckReply(aGroup, id, version, aReply);
                        });
  }
}

void
PromotionCoordinator::OnPauseCheckReply(const std::string& aGroup,
                                        const std::string& aMember,
                                        StoreRevision aVersion,
                                        const std::optional<MemberReply>& aReply)
{
  GroupPromotion& promotion = mPromotions[aGroup];
  PauseCheck& check = promotion.mPauseCheck;
  if (check.mVersion != aVersion || !aReply || !aReply->mStatus) {
    return;
  }
  const TimePoint now = mHooks.mNow();
  const auto row = PauseRowOf(aGroup);
  check.mIsLeaderConfirmed =
    check.mIsLeaderConfirmed ||
    (row && row->mLeader == aMember && aReply->mStatus->mRole == MemberRole::Primary);
  if (aReply->mStatus->mPausedTerm == 0) {
    check.mReceiving.insert(aMember);
    check.mPaused.erase(aMember);
  } else {
    check.mPaused.insert(aMember);
  }
  EndPauses(aGroup, promotion, now);
}

void
PromotionCoordinator::EndPauses(const std::string& aGroup,
                                GroupPromotion& aPromotion,
                                TimePoint aNow)
{
  PauseCheck& check = aPromotion.mPauseCheck;
  const SeenRow* seen = FindRow(LeadershipKey(aGroup));
  const auto row = PauseRowOf(aGroup);
  if (check.mPaused.empty() || check.mIsWriting ||
      aPromotion.mPhase != Phase::Monitoring || !row ||
      VersionOf(seen) != check.mVersion) {
    return;
  }
  // Until the call has taken effect, a pause may be what keeps the old leader from
  // acknowledging commits.
  if (row->mState == LeadershipState::Calling && !check.mIsLeaderConfirmed) {
    return;
  }
  check.mIsWriting = true;
  const std::vector<std::string> members(check.mPaused.begin(), check.mPaused.end());
  LeadershipRow settled = *row;
  settled.mState = LeadershipState::Settled;
  StoredRow stored;
  stored.mTable = kCoordinationTable;
  stored.mKey = LeadershipKey(aGroup);
  stored.mValue = Encode(settled);
  stored.mRevision = check.mVersion.mRevision;
  stored.mIncarnation = check.mVersion.mIncarnation;
  mStore.mWrite(
    { stored }, [this, aGroup, members, sentAt = aNow](const WriteResult& aResult) {
      const TimePoint now = mHooks.mNow();
      mPromotions[aGroup].mPauseCheck.mIsWriting = false;
      // After a failure, the next check finds the members again.
      if (!std::holds_alternative<Written>(aResult) || now - sentAt > kCallWindow) {
        return;
      }
      for (const std::string& member : members) {
        mHooks.mLog(
          LogLevel::Warning, "pause_left", { { "group", aGroup }, { "member", member } });
      }
      ResumeMembers(members, now);
    });
}

void
PromotionCoordinator::ResumeMembers(std::span<const std::string> aMembers, TimePoint aNow)
{
  for (const std::string& member : aMembers) {
    // CheckPauses finds a member that doesn't receive the command.
    mHooks.mSendCommand(member,
                        { .mKind = CommandKind::Resume },
                        kDemoteTimeout,
                        aNow,
                        [](const std::optional<MemberReply>&) {});
  }
}

} // namespace papayaspindle::proxy
