#pragma once

#include "exploration/memberconnection.h"
#include "exploration/simulatedgroup.h"

#include <functional>
#include <optional>
#include <string>
#include <utility>

namespace papayaspindle::exploration {

/** Executes the commands of connections at members. Performs the checks PINNED and
 * UNASKED. */
class CommandExecution
{
public:
  /** Receives the reply, for commits once enough replicas have received them. */
  using ReplyHook = std::function<void(const proxy::MemberReply&)>;

  CommandExecution(ExplorationContext& aContext, StatementLedger& aLedger)
    : mContext(aContext)
    , mLedger(aLedger)
  {
  }

  void Execute(SimulatedGroup& aGroup,
               MemberConnection& aConnection,
               const proxy::MemberCommand& aCommand,
               const ReplyHook& aHook)
  {
    SimulatedMember& member = aGroup.At(aConnection.mMember);
    proxy::MemberReply reply;
    reply.mText = proxy::kUnsigned;
    switch (aCommand.mKind) {
      case proxy::CommandKind::Set:
        aConnection.mValues[aCommand.mName] = aCommand.mArguments;
        break;
      case proxy::CommandKind::Prepare:
        aConnection.mShapes[aCommand.mName] = aCommand.mArguments;
        break;
      case proxy::CommandKind::Reset:
        if (!mContext.mMemberFaults.mIgnoresReset) {
          aConnection.mValues.clear();
          aConnection.mShapes.clear();
        }
        break;
      case proxy::CommandKind::Begin:
      case proxy::CommandKind::BeginRead:
        if (const auto refusal = RefusalOf(aConnection, aCommand, member)) {
          return aHook(*refusal);
        }
        aConnection.mState = proxy::TransactionState::Open;
        aConnection.mMayWrite = aCommand.mKind == proxy::CommandKind::Begin;
        aConnection.mTerm = member.mTerm;
        break;
      case proxy::CommandKind::Rollback:
        aConnection.EndTransaction();
        break;
      case proxy::CommandKind::Status:
      case proxy::CommandKind::Pause:
      case proxy::CommandKind::Resume:
      case proxy::CommandKind::Demote:
        reply.mStatus = ExecuteControl(aGroup, member, aCommand);
        break;
      default:
        return RunStatement(aGroup, aConnection, member, aCommand, aHook);
    }
    reply.mState = aConnection.mState;
    reply.mPosition = member.Applied();
    aHook(reply);
  }

  static proxy::MemberReply ErrorReply(proxy::AnswerCode aCode,
                                       const MemberConnection& aConnection)
  {
    proxy::MemberReply reply;
    reply.mError = aCode;
    reply.mText = "refused";
    reply.mState = aConnection.mState;
    return reply;
  }

private:
  std::optional<proxy::MemberReply> RefusalOf(const MemberConnection& aConnection,
                                              const proxy::MemberCommand& aCommand,
                                              const SimulatedMember& aMember)
  {
    if (mContext.mRandom.Chance(mContext.mRefusals)) {
      return ErrorReply(proxy::AnswerCode::Busy, aConnection);
    }
    const bool lacks = aCommand.mAfter && aMember.Applied() < *aCommand.mAfter;
    if (lacks && !mContext.mMemberFaults.mIgnoresAfter) {
      return ErrorReply(proxy::AnswerCode::Lagging, aConnection);
    }
    if (aCommand.mKind == proxy::CommandKind::Begin && !aMember.mIsPrimary) {
      return ErrorReply(proxy::AnswerCode::ReadOnly, aConnection);
    }
    return std::nullopt;
  }

  proxy::MemberStatus ExecuteControl(const SimulatedGroup& aGroup,
                                     SimulatedMember& aMember,
                                     const proxy::MemberCommand& aCommand)
  {
    if (aCommand.mKind == proxy::CommandKind::Pause && !aMember.mIsPrimary) {
      aMember.mPausedTerm = aCommand.mTerm;
    } else if (aCommand.mKind == proxy::CommandKind::Resume) {
      aMember.mPausedTerm = 0;
    } else if (aCommand.mKind == proxy::CommandKind::Demote && aMember.mIsPrimary &&
               aMember.mTerm < aCommand.mTerm) {
      aMember.mIsPrimary = false;
    }
    if (aCommand.mKind != proxy::CommandKind::Status) {
      mContext.mJournal.Note(aGroup.Name(),
                             fmt::format("{} executes control command {} for term {}",
                                         aMember.mId,
                                         static_cast<int>(aCommand.mKind),
                                         aCommand.mTerm));
    }
    proxy::MemberStatus status;
    status.mRole =
      aMember.mIsPrimary ? proxy::MemberRole::Primary : proxy::MemberRole::Replica;
    status.mTerm = aMember.mTerm;
    status.mReceived = aMember.Received();
    status.mPausedTerm = aMember.mPausedTerm;
    status.mLag = aMember.mApplyLag;
    return status;
  }

  void RunStatement(SimulatedGroup& aGroup,
                    MemberConnection& aConnection,
                    SimulatedMember& aMember,
                    const proxy::MemberCommand& aCommand,
                    const ReplyHook& aHook)
  {
    const StatementExpectation* expected = mLedger.Find(aCommand.mId);
    if (expected == nullptr) {
      mContext.mJournal.Report(
        "PINNED", { aCommand.mId }, "unknown statement " + aCommand.mId);
      return aHook(ErrorReply(proxy::AnswerCode::BadMessage, aConnection));
    }
    if (const auto refusal = RefusalOf(aConnection, aCommand, aMember)) {
      return aHook(*refusal);
    }
    const bool isCommit = aCommand.mKind == proxy::CommandKind::Commit;
    const bool isInTransaction = aConnection.mState == proxy::TransactionState::Open;
    const bool hasLostLead = isInTransaction && aConnection.mMayWrite &&
                             (!aMember.mIsPrimary || aMember.mTerm != aConnection.mTerm);
    const bool isRefused = (hasLostLead && !(isCommit && aConnection.mPending.empty())) ||
                           (expected->mIsWrite && !aMember.mIsPrimary);
    if (isRefused) {
      if (isInTransaction) {
        aConnection.mState = proxy::TransactionState::Failed;
        aConnection.mPending.clear();
      }
      return aHook(ErrorReply(proxy::AnswerCode::ReadOnly, aConnection));
    }
    CheckStatement(aConnection, aCommand, *expected);
    if (isInTransaction && expected->mInTransaction) {
      aConnection.mOwner = expected->mSession;
    }
    std::vector<std::string> committed;
    if (isCommit) {
      committed = std::exchange(aConnection.mPending, {});
      if (!committed.empty()) {
        committed.push_back(aCommand.mId);
      }
      aConnection.EndTransaction();
    } else if (expected->mIsWrite && isInTransaction) {
      aConnection.mPending.push_back(aCommand.mId);
    } else if (expected->mIsWrite) {
      committed.push_back(aCommand.mId);
    }
    proxy::MemberReply reply;
    reply.mText = expected->mIsWrite || isCommit ? "sig-" + aCommand.mId + "-0"
                                                 : mLedger.OnRead(aCommand.mId, aMember);
    reply.mRows = { "row" };
    reply.mState = aConnection.mState;
    if (committed.empty()) {
      reply.mPosition = aMember.Applied();
      return aHook(reply);
    }
    reply.mPosition = LogPosition{ aMember.mTerm, aMember.mLog.size() + 1 };
    if (mContext.mMemberFaults.mRunsRefused && mContext.mRandom.Chance(200)) {
      reply = ErrorReply(proxy::AnswerCode::Busy, aConnection);
    }
    aGroup.Commit(aMember, committed, [aHook, reply] { aHook(reply); });
  }

  void CheckStatement(const MemberConnection& aConnection,
                      const proxy::MemberCommand& aCommand,
                      const StatementExpectation& aExpected)
  {
    mContext.mJournal.Note(aCommand.mId,
                           fmt::format("runs at {} on connection {} of {}",
                                       aConnection.mMember,
                                       aConnection.mInstance->Name(),
                                       aConnection.mCustomer));
    const auto report = [&](std::string_view aCheck, std::string_view aText) {
      mContext.mJournal.Report(aCheck,
                               { aCommand.mId, aExpected.mSession },
                               fmt::format("{} {}", aCommand.mId, aText));
    };
    if (aConnection.mCustomer != aExpected.mCustomer) {
      report("UNASKED",
             fmt::format("of customer '{}' runs in the name of '{}'",
                         aExpected.mCustomer,
                         aConnection.mCustomer));
    }
    if (mLedger.IsForbidden(aCommand.mId)) {
      report("UNASKED", "runs although its customer's key is withdrawn");
    }
    if (aConnection.mValues != aExpected.mValues) {
      report("PINNED", "runs with other session values");
    }
    if (aCommand.mKind == proxy::CommandKind::Execute) {
      const auto shape = aConnection.mShapes.find(aCommand.mName);
      if (shape == aConnection.mShapes.end() || shape->second != aExpected.mShape) {
        report("PINNED", "executes another prepared statement");
      }
    }
    if (!aConnection.mOwner.empty() && aConnection.mOwner != aExpected.mSession) {
      report("PINNED", "runs in the transaction of " + aConnection.mOwner);
    }
    if (aExpected.mInTransaction && aConnection.mState != proxy::TransactionState::Open) {
      report("PINNED", "runs outside its transaction");
    }
    const bool isWrite =
      aExpected.mIsWrite || aCommand.mKind == proxy::CommandKind::Commit;
    if (!aExpected.mInTransaction && isWrite &&
        aConnection.mState == proxy::TransactionState::Open) {
      report("PINNED", "is a single write, and runs inside a transaction");
    }
  }

  ExplorationContext& mContext;
  StatementLedger& mLedger;
};

} // namespace papayaspindle::exploration
