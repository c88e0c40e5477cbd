#pragma once

#include "exploration/explorationcontext.h"
#include "exploration/simulatedmember.h"
#include "proxy/proxyconfiguration.h"
#include "proxy/session.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace papayaspindle::exploration {

/** What a client expects of the execution of a statement. */
struct StatementExpectation
{
  std::string mGroup;
  /** Unique name of the client's session. */
  std::string mSession;
  std::string mCustomer;
  proxy::SessionValues mValues;
  std::string mShape;
  bool mIsWrite = false;
  bool mInTransaction = false;
  /** Commits that were acknowledged before this time must be visible. */
  TimePoint mVisibleBefore;
  /** The session's own last commit, which must be visible; 0 for none. */
  std::uint64_t mOwnCommit = 0;
};

/** What became of a statement that took effect. */
struct CommitRecord
{
  std::uint64_t mNumber = 0;
  std::string mMember;
};

/** Statements of all clients, their effects and their answers. Performs the checks LOST,
 * TWICE, REFUSED and STALE. */
class StatementLedger
{
public:
  explicit StatementLedger(ExplorationContext& aContext)
    : mContext(aContext)
  {
  }

  void Expect(const std::string& aId, const StatementExpectation& aExpectation)
  {
    mExpectations[aId] = aExpectation;
  }
  [[nodiscard]] const StatementExpectation* Find(const std::string& aId) const
  {
    const auto found = mExpectations.find(aId);
    return found == mExpectations.end() ? nullptr : &found->second;
  }

  /** Records that an instance has received a statement whose customer it knows to be
   * withdrawn, so that no member may run it. */
  void Forbid(const std::string& aId) { mForbidden.insert(aId); }
  [[nodiscard]] bool IsForbidden(const std::string& aId) const
  {
    return mForbidden.contains(aId);
  }

  /** Records that a statement has taken effect at a member. */
  void OnCommitted(const std::string& aId,
                   const std::string& aMember,
                   std::uint64_t aNumber)
  {
    mContext.mJournal.Note(aId, fmt::format("commit {} at {}", aNumber, aMember));
    if (!mCommits.emplace(aId, CommitRecord{ aNumber, aMember }).second) {
      mContext.mJournal.Report("TWICE", { aId }, aId + " took effect twice");
    }
    if (mRefused.contains(aId)) {
      mContext.mJournal.Report(
        "REFUSED", { aId }, aId + " took effect after it was refused");
    }
  }

  /** Records that a client was promised that a statement has no effect. */
  void OnRefused(const std::string& aId)
  {
    mRefused.insert(aId);
    if (mCommits.contains(aId)) {
      mContext.mJournal.Report("REFUSED", { aId }, aId + " was refused, but took effect");
    }
  }

  [[nodiscard]] const CommitRecord* CommitOf(const std::string& aId) const
  {
    const auto found = mCommits.find(aId);
    return found == mCommits.end() ? nullptr : &found->second;
  }

  /** Records that a client has received the acknowledgement of a write.
   *
   * @param aIsKept whether the group's newest leader has the commit
   * @param aMayLose whether the group may lose commits that no replica has received
   * @return number of the commit; 0 if it is lost */
  std::uint64_t OnAcknowledged(const std::string& aId, bool aIsKept, bool aMayLose)
  {
    const CommitRecord* commit = CommitOf(aId);
    if (commit == nullptr) {
      mContext.mJournal.Report(
        "LOST", { aId }, aId + " was acknowledged, but has not taken effect");
      return 0;
    }
    mAcknowledged[Find(aId)->mGroup].push_back(
      { mContext.mClock.Now(), commit->mNumber, aId, !aIsKept });
    if (!aIsKept && !aMayLose) {
      mContext.mJournal.Report(
        "LOST", { aId }, aId + " was acknowledged, but the leader lacks it");
    }
    return aIsKept ? commit->mNumber : 0;
  }

  /** Checks the acknowledged commits against the log of a member that begins to lead. */
  void OnPromoted(const std::string& aGroup,
                  const SimulatedMember& aLeader,
                  bool aMayLose)
  {
    for (Acknowledgement& acknowledged : mAcknowledged[aGroup]) {
      if (acknowledged.mIsLost || aLeader.HasReceived(acknowledged.mNumber)) {
        continue;
      }
      acknowledged.mIsLost = true;
      if (!aMayLose) {
        mContext.mJournal.Report(
          "LOST",
          { acknowledged.mId, aLeader.mId, aGroup },
          acknowledged.mId + " was acknowledged, but is unknown to the new leader " +
            aLeader.mId);
      }
    }
  }

  /** Records that a member runs a read.
   *
   * @return signature of the answer */
  std::string OnRead(const std::string& aId, const SimulatedMember& aMember)
  {
    const StatementExpectation& expected = mExpectations.at(aId);
    std::string& missed = mMissedCommits[++mExecutions];
    const auto& acknowledged = mAcknowledged[expected.mGroup];
    std::size_t checked = 0;
    for (auto entry = acknowledged.rbegin();
         entry != acknowledged.rend() && checked < kCheckedCommits;
         ++entry) {
      if (entry->mIsLost || entry->mAt >= expected.mVisibleBefore) {
        continue;
      }
      checked++;
      if (!aMember.HasApplied(entry->mNumber)) {
        missed = entry->mId;
        break;
      }
    }
    if (expected.mOwnCommit != 0 && !aMember.HasApplied(expected.mOwnCommit) &&
        !IsLost(expected.mGroup, expected.mOwnCommit)) {
      missed = fmt::format("own commit {}", expected.mOwnCommit);
    }
    mContext.mJournal.Note(
      aId,
      fmt::format("read {} at {} {}/{}{}",
                  mExecutions,
                  aMember.mId,
                  aMember.Applied().mTerm,
                  aMember.Applied().mIndex,
                  missed.empty() ? std::string() : ", without " + missed));
    return fmt::format("sig-{}-{}", aId, mExecutions);
  }

  /** @return id of the statement that a member's signature belongs to */
  static std::string IdOf(const std::string& aSignature)
  {
    const std::size_t begin = std::string_view("sig-").size();
    return aSignature.size() < begin
             ? std::string()
             : aSignature.substr(begin, aSignature.rfind('-') - begin);
  }

  /** Reports that a client received another statement's answer. */
  void OnForeignAnswer(const std::string& aId, const std::string& aSignature)
  {
    mContext.mJournal.Report("PINNED",
                             { aId, IdOf(aSignature) },
                             aId + " has another statement's answer: " + aSignature);
  }

  /** Checks the answer of a read that a client has received. */
  void OnReadAnswered(const std::string& aId, const std::string& aSignature)
  {
    const std::string prefix = "sig-" + aId + "-";
    if (!aSignature.starts_with(prefix)) {
      OnForeignAnswer(aId, aSignature);
      return;
    }
    const std::string& missed =
      mMissedCommits[std::stoull(aSignature.substr(prefix.size()))];
    if (!missed.empty()) {
      mContext.mJournal.Report(
        "STALE", { aId, missed, Find(aId)->mGroup }, aId + " has not seen " + missed);
    }
  }

private:
  struct Acknowledgement
  {
    TimePoint mAt;
    std::uint64_t mNumber = 0;
    std::string mId;
    /** A promotion has rolled the commit back. */
    bool mIsLost = false;
  };

  static constexpr std::size_t kCheckedCommits = 50;

  bool IsLost(const std::string& aGroup, std::uint64_t aNumber)
  {
    const auto& acknowledged = mAcknowledged[aGroup];
    return std::any_of(
      acknowledged.begin(), acknowledged.end(), [&](const Acknowledgement& aEntry) {
        return aEntry.mNumber == aNumber && aEntry.mIsLost;
      });
  }

  ExplorationContext& mContext;
  std::map<std::string, StatementExpectation> mExpectations;
  std::map<std::string, CommitRecord> mCommits;
  std::set<std::string> mRefused;
  std::set<std::string> mForbidden;
  std::map<std::string, std::vector<Acknowledgement>> mAcknowledged;
  std::map<std::uint64_t, std::string> mMissedCommits;
  std::uint64_t mExecutions = 0;
};

} // namespace papayaspindle::exploration
