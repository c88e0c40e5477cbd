#include "standin/memberstate.h"

#include "convert/convert.h"
#include "standin/sessionanswers.h"
#include "standin/statementhash.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace papayaspindle::standin {

namespace {

void
RunLogged(KeyValueStore& aStore, const v1::LogEntry& aEntry)
{
  aStore.SetChangeIndex(aEntry.position().index());
  for (const std::string& text : aEntry.statements()) {
    const Result<Statement> statement = ParseStatement(text);
    if (IsOk(statement)) {
      RunStatement(aStore, ValueOf(statement));
    }
  }
}

} // namespace

MemberState::MemberState(std::string aMember, std::string aAvailabilityZone)
  : mMember(std::move(aMember))
  , mAvailabilityZone(std::move(aAvailabilityZone))
{
}

v1::StatusReply
MemberState::Status(TimePoint aNow) const
{
  v1::StatusReply status;
  status.set_member(mMember);
  status.set_availability_zone(mAvailabilityZone);
  status.set_term(mTerms.Term());
  status.set_role(mTerms.Role());
  *status.mutable_last() = ToMessage(mLog.Last());
  *status.mutable_applied() = ToMessage(Applied());
  status.set_primary(mTerms.Primary().member());
  if (mTerms.Role() == v1::MEMBER_ROLE_REPLICA) {
    const auto silence =
      std::chrono::duration_cast<std::chrono::milliseconds>(aNow - mPrimaryHeardAt);
    status.set_primary_silence_ms(
      static_cast<std::uint64_t>(std::max<std::int64_t>(silence.count(), 0)));
  }
  return status;
}

bool
MemberState::Restore(const v1::JournalRecord& aRecord)
{
  switch (aRecord.change_case()) {
    case v1::JournalRecord::kTerm:
      mTerms.Restore(aRecord.term());
      return true;
    case v1::JournalRecord::kTruncatedAfter:
      return DropAfterCommon(mLog.PositionAt(aRecord.truncated_after()));
    case v1::JournalRecord::kAppended:
      if (!mLog.Append(aRecord.appended())) {
        return false;
      }
      RunLogged(mStore, mLog.EntryAt(++mApplied));
      return true;
    case v1::JournalRecord::CHANGE_NOT_SET:
      return false;
  }
  return false;
}

void
MemberState::NoteTerm(std::uint64_t aBefore)
{
  if (mTerms.Term() == aBefore || !mJournal) {
    return;
  }
  v1::JournalRecord record;
  record.set_term(mTerms.Term());
  mJournal(record);
}

bool
MemberState::AppendEntry(v1::LogEntry aEntry)
{
  if (!mLog.Append(std::move(aEntry))) {
    return false;
  }
  if (mJournal) {
    v1::JournalRecord record;
    *record.mutable_appended() = mLog.EntryAt(mLog.Last().mIndex);
    mJournal(record);
  }
  return true;
}

bool
MemberState::Raise(std::uint64_t aTerm, const std::string& aKeeper)
{
  const std::uint64_t before = mTerms.Term();
  const bool granted = mTerms.Raise(aTerm, aKeeper);
  if (mTerms.Term() != before) {
    mInStep = false;
  }
  NoteTerm(before);
  return granted;
}

bool
MemberState::Promote(std::uint64_t aTerm, const std::string& aKeeper)
{
  const bool ledBefore = IsPrimaryOf(aTerm);
  if (!mTerms.Promote(aTerm, aKeeper)) {
    return false;
  }
  if (ledBefore) {
    return true;
  }
  while (mApplied < mLog.Last().mIndex) {
    ApplyNext();
  }
  mInStep = true;
  // Makes the log before it certain once a majority holds an entry of the new term.
  AppendOwn({}, {}, {}, 0);
  return true;
}

bool
MemberState::Follow(std::uint64_t aTerm,
                    const v1::MemberAddress& aPrimary,
                    TimePoint aNow)
{
  const bool followedBefore =
    mTerms.Term() == aTerm && mTerms.Role() == v1::MEMBER_ROLE_REPLICA;
  const std::uint64_t before = mTerms.Term();
  if (aPrimary.member() == mMember || !mTerms.Follow(aTerm, aPrimary)) {
    return false;
  }
  NoteTerm(before);
  if (!followedBefore) {
    mInStep = false;
    mPrimaryHeardAt = aNow;
  }
  return true;
}

v1::SessionAnswer
MemberState::Run(SessionState& aSession, const v1::SessionRequest& aRequest)
{
  v1::SessionAnswer answer = Execute(aSession, aRequest);
  answer.set_sequence(aRequest.sequence());
  answer.set_term(mTerms.Term());
  if (!answer.has_position()) {
    *answer.mutable_position() = ToMessage(Applied());
  }
  return answer;
}

v1::SessionAnswer
MemberState::Execute(SessionState& aSession, const v1::SessionRequest& aRequest)
{
  if (aSession.mTransaction.has_value() && aSession.mTransactionTerm != mTerms.Term()) {
    aSession.mTransaction.reset();
    return Refusal(v1::MEMBER_ERROR_ABORTED, "the term changed during the transaction");
  }
  if (aRequest.kind() == v1::STATEMENT_KIND_PING) {
    return {};
  }
  if (aRequest.kind() == v1::STATEMENT_KIND_ROLLBACK) {
    aSession.mTransaction.reset();
    return {};
  }
  if (aRequest.term() != mTerms.Term()) {
    return Refusal(v1::MEMBER_ERROR_WRONG_TERM, "the member is in another term");
  }
  if (aRequest.kind() == v1::STATEMENT_KIND_BEGIN) {
    return Begin(aSession);
  }
  if (aRequest.kind() == v1::STATEMENT_KIND_COMMIT) {
    return Commit(aSession, aRequest);
  }
  const Result<Statement> parsed = ParseStatement(aRequest.statement());
  if (aRequest.kind() != v1::STATEMENT_KIND_EXECUTE || !IsOk(parsed)) {
    return Refusal(v1::MEMBER_ERROR_BAD_STATEMENT,
                   IsOk(parsed) ? "unknown kind" : ErrorOf(parsed).mMessage);
  }
  const Statement& statement = ValueOf(parsed);
  if (IsWrite(statement.mVerb) != aRequest.write()) {
    return Refusal(v1::MEMBER_ERROR_BAD_STATEMENT,
                   "the statement and its access mode do not agree");
  }
  if (aSession.mTransaction.has_value()) {
    const StatementOutcome outcome = RunStatement(*aSession.mTransaction, statement);
    if (aRequest.write() && !outcome.mFailed) {
      aSession.mTransaction->AddStatement(aRequest.statement());
    }
    return AnswerOf(outcome);
  }
  return aRequest.write() ? RunWrite(statement, aRequest) : RunRead(statement);
}

v1::SessionAnswer
MemberState::Begin(SessionState& aSession)
{
  if (mTerms.Role() != v1::MEMBER_ROLE_PRIMARY) {
    return Refusal(v1::MEMBER_ERROR_NOT_PRIMARY, "transactions run on the primary");
  }
  if (aSession.mTransaction.has_value()) {
    return Refusal(v1::MEMBER_ERROR_BAD_STATEMENT, "a transaction is open");
  }
  aSession.mTransaction.emplace(mStore);
  aSession.mTransactionTerm = mTerms.Term();
  return {};
}

v1::SessionAnswer
MemberState::Commit(SessionState& aSession, const v1::SessionRequest& aRequest)
{
  if (!aSession.mTransaction.has_value()) {
    return Refusal(v1::MEMBER_ERROR_BAD_STATEMENT, "no transaction is open");
  }
  const Transaction transaction = *std::move(aSession.mTransaction);
  aSession.mTransaction.reset();
  if (transaction.Statements().empty()) {
    return {};
  }
  const std::string hash = StatementHash(transaction.Statements());
  if (auto first = FirstOutcome(aRequest.request_id(), hash)) {
    return *std::move(first);
  }
  if (!transaction.IsCurrent()) {
    return Refusal(v1::MEMBER_ERROR_ABORTED, "another write changed what it read");
  }
  v1::SessionAnswer answer;
  mStore.SetChangeIndex(mLog.Last().mIndex + 1);
  std::uint64_t affected = 0;
  for (const std::string& text : transaction.Statements()) {
    const Result<Statement> statement = ParseStatement(text);
    affected += RunStatement(mStore, ValueOf(statement)).mAffected;
  }
  *answer.mutable_position() =
    ToMessage(AppendOwn(aRequest.request_id(), hash, transaction.Statements(), affected));
  answer.set_affected(affected);
  return answer;
}

v1::SessionAnswer
MemberState::RunRead(const Statement& aStatement)
{
  if (!mInStep) {
    return Refusal(v1::MEMBER_ERROR_NOT_PRIMARY, "not in step with a primary yet");
  }
  return AnswerOf(RunStatement(mStore, aStatement));
}

v1::SessionAnswer
MemberState::RunWrite(const Statement& aStatement, const v1::SessionRequest& aRequest)
{
  if (mTerms.Role() != v1::MEMBER_ROLE_PRIMARY) {
    return Refusal(v1::MEMBER_ERROR_NOT_PRIMARY, "writes run on the primary");
  }
  const std::vector<std::string> statements{ aRequest.statement() };
  const std::string hash = StatementHash(statements);
  if (auto first = FirstOutcome(aRequest.request_id(), hash)) {
    return *std::move(first);
  }
  mStore.SetChangeIndex(mLog.Last().mIndex + 1);
  const StatementOutcome outcome = RunStatement(mStore, aStatement);
  v1::SessionAnswer answer = AnswerOf(outcome);
  if (!outcome.mFailed) {
    *answer.mutable_position() =
      ToMessage(AppendOwn(aRequest.request_id(), hash, statements, outcome.mAffected));
  }
  return answer;
}

std::optional<v1::SessionAnswer>
MemberState::FirstOutcome(const std::string& aRequestId, const std::string& aHash) const
{
  const v1::LogEntry* entry = aRequestId.empty() ? nullptr : mLog.FindRequest(aRequestId);
  if (entry == nullptr) {
    return std::nullopt;
  }
  if (entry->statement_hash() != aHash) {
    return Refusal(v1::MEMBER_ERROR_REQUEST_ID_CONFLICT,
                   "the request id was used for another statement");
  }
  v1::SessionAnswer answer;
  answer.set_affected(entry->affected());
  *answer.mutable_position() = entry->position();
  answer.set_repeated(true);
  return answer;
}

LogPosition
MemberState::AppendOwn(const std::string& aRequestId,
                       const std::string& aHash,
                       const std::vector<std::string>& aStatements,
                       std::uint64_t aAffected)
{
  v1::LogEntry entry;
  *entry.mutable_position() =
    ToMessage(LogPosition{ mTerms.Term(), mLog.Last().mIndex + 1 });
  entry.set_request_id(aRequestId);
  entry.set_statement_hash(aHash);
  entry.mutable_statements()->Assign(aStatements.begin(), aStatements.end());
  entry.set_affected(aAffected);
  AppendEntry(std::move(entry));
  mApplied = mLog.Last().mIndex;
  return mLog.Last();
}

bool
MemberState::IsPrimaryOf(std::uint64_t aTerm) const
{
  return mTerms.Term() == aTerm && mTerms.Role() == v1::MEMBER_ROLE_PRIMARY;
}

bool
MemberState::Receive(const v1::ReplicateBatch& aBatch, TimePoint aNow)
{
  if (aBatch.term() != mTerms.Term() || mTerms.Role() != v1::MEMBER_ROLE_REPLICA) {
    return false;
  }
  if (aBatch.has_common() && !DropAfterCommon(FromMessage(aBatch.common()))) {
    return false;
  }
  if (!mInStep) {
    return false;
  }
  mPrimaryHeardAt = aNow;
  for (const v1::LogEntry& entry : aBatch.entries()) {
    if (!AppendEntry(entry)) {
      return false;
    }
    mReceivedAt.push_back(aNow);
  }
  return true;
}

bool
MemberState::DropAfterCommon(const LogPosition& aCommon)
{
  if (mLog.PositionAt(aCommon.mIndex) != aCommon) {
    return false;
  }
  if (mLog.Last().mIndex > aCommon.mIndex && mJournal) {
    v1::JournalRecord record;
    record.set_truncated_after(aCommon.mIndex);
    mJournal(record);
  }
  mLog.TruncateAfter(aCommon.mIndex);
  if (mApplied > aCommon.mIndex) {
    mStore.Clear();
    for (mApplied = 0; mApplied < aCommon.mIndex;) {
      ++mApplied;
      RunLogged(mStore, mLog.EntryAt(mApplied));
    }
  }
  mReceivedAt.resize(mLog.Last().mIndex - mApplied);
  mInStep = true;
  return true;
}

std::optional<TimePoint>
MemberState::ApplyDue(TimePoint aNow, Duration aLag)
{
  while (mApplied < mLog.Last().mIndex) {
    const TimePoint due = mReceivedAt.front() + aLag;
    if (due > aNow) {
      return due;
    }
    ApplyNext();
  }
  return std::nullopt;
}

void
MemberState::ApplyNext()
{
  ++mApplied;
  RunLogged(mStore, mLog.EntryAt(mApplied));
  if (!mReceivedAt.empty()) {
    mReceivedAt.pop_front();
  }
}

} // namespace papayaspindle::standin
