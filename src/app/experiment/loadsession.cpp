#include "experiment/loadsession.h"

#include "experiment/gaptracker.h"
#include "experiment/registerhistory.h"
#include "experiment/statementclient.h"
#include "experiment/tally.h"
#include "experiment/writeledger.h"
#include "observe/metricregistry.h"

#include <fmt/core.h>

#include <algorithm>
#include <thread>

namespace papayaspindle::experiment {

namespace {

constexpr int kReadAttempts = 3;
/** Pause before a request is sent again or its outcome is asked for again. */
constexpr std::chrono::milliseconds kRetryPause{ 20 };

LogPosition
PositionOf(const v1::LogPosition& aMessage)
{
  return { aMessage.term(), aMessage.index() };
}

} // namespace

LoadSession::LoadSession(const LoadContext& aContext, std::size_t aNumber)
  : mContext(aContext)
  , mNumber(aNumber)
{
  BeginVisit();
}

void
LoadSession::BeginVisit()
{
  mToken.clear();
  mOwn = {};
  mServed = 0;
}

void
LoadSession::Move()
{
  mInstance = Pick(mRandom, mContext.mClient.Instances());
}

void
LoadSession::Serve(const Arrival& aArrival)
{
  // Seeded for each arrival, so that the plan does not depend on which thread takes it.
  mRandom.seed(mContext.mSeed * 1'000'003 + aArrival.mIndex);
  if (mServed++ >= mContext.mVisitRequests) {
    BeginVisit();
  }
  const std::size_t before = mInstance;
  if (mServed <= 1 || Pick(mRandom, 100) < mContext.mMovePercent) {
    Move();
  }
  if (mServed > 1 && mInstance != before && !mToken.empty()) {
    mContext.mTally.CountMove();
  }
  const std::string unique = fmt::format("{}-{}", mContext.mRunName, aArrival.mIndex);
  const Operation operation = mContext.mMix.Next(mRandom, mOwn, unique);
  if (operation.mWrite) {
    Write(operation, aArrival);
  } else {
    Read(operation, aArrival);
  }
}

v1::ExecuteRequest
LoadSession::RequestFor(const Operation& aOperation) const
{
  v1::ExecuteRequest request;
  request.set_group(aOperation.mGroup.Text());
  request.set_statement(aOperation.mStatement);
  request.set_access(aOperation.mWrite ? v1::ACCESS_MODE_WRITE : v1::ACCESS_MODE_READ);
  request.set_caller(fmt::format("caller-{}", mNumber));
  request.set_session_token(mToken);
  request.set_timeout_ms(static_cast<std::uint64_t>(mContext.mTimeout.count()));
  request.set_max_staleness_ms(
    static_cast<std::uint64_t>(aOperation.mMaxStaleness.count()));
  return request;
}

void
LoadSession::Read(const Operation& aRead, const Arrival& aArrival)
{
  const v1::ExecuteRequest request = RequestFor(aRead);
  for (int attempt = 0; attempt < kReadAttempts; ++attempt) {
    const TimePoint sentAt = Clock::now();
    const v1::ExecuteReply reply = mContext.mClient.Execute(mInstance, mNumber, request);
    if (reply.has_error()) {
      mContext.mTally.CountError(reply.error().kind());
      Move();
      std::this_thread::sleep_for(kRetryPause);
      continue;
    }
    RecordLatency(aRead, aArrival);
    const auto own = mOwn.mValues.find(aRead.mRegister);
    const std::uint64_t ownValue = own == mOwn.mValues.end() ? 0 : own->second;
    const ReadVerdict verdict =
      CheckRead(aRead, reply, sentAt, ownValue, mContext.mHistory);
    std::string example;
    if (verdict != ReadVerdict::Good) {
      example = fmt::format(
        "request {}, verdict {}, own value {}, acknowledged {}: {} -> {}",
        aArrival.mIndex,
        static_cast<int>(verdict),
        ownValue,
        mContext.mHistory.AcknowledgedBy(aRead.mRegister, sentAt - aRead.mMaxStaleness),
        aRead.mStatement,
        reply.ShortDebugString());
    }
    mContext.mTally.CountRead(verdict, reply.served_by_replica(), example);
    if (!reply.session_token().empty()) {
      mToken = reply.session_token();
    }
    return;
  }
  mContext.mTally.CountFailedRead();
}

void
LoadSession::Write(const Operation& aWrite, const Arrival& aArrival)
{
  const RequestId id(fmt::format("{}-{}", mContext.mRunName, aArrival.mIndex));
  v1::ExecuteRequest request = RequestFor(aWrite);
  request.set_request_id(id.Text());
  mContext.mLedger.Intend(id, aWrite.mGroup, aWrite.mStatement);
  const Settled settled = SendUntilSettled(request, Clock::now() + mContext.mGiveUp);
  if (settled.mAcknowledged) {
    RecordLatency(aWrite, aArrival);
    mContext.mGaps.Acknowledged(aWrite.mGroup, Clock::now());
  }
  mContext.mTally.CountWrite(settled.mAcknowledged);
  RecordWrite(aWrite, id, settled);
}

LoadSession::Settled
LoadSession::SendUntilSettled(const v1::ExecuteRequest& aRequest, TimePoint aGiveUpAt)
{
  Settled settled;
  while (Clock::now() < aGiveUpAt) {
    // Until an answer says otherwise, what was sent may have run.
    const bool mightHaveRun = settled.mMayHaveRun;
    const v1::ExecuteReply reply = mContext.mClient.Execute(mInstance, mNumber, aRequest);
    if (!reply.has_error()) {
      settled.mAcknowledged = true;
      settled.mPosition = PositionOf(reply.position());
      settled.mAffected = reply.affected();
      mToken = reply.session_token();
      return settled;
    }
    mContext.mTally.CountError(reply.error().kind());
    if (reply.error().execution() == v1::EXECUTION_RAN ||
        (reply.error().execution() == v1::EXECUTION_NOT_RUN &&
         reply.error().retry() == v1::RETRY_ADVICE_NEVER)) {
      return settled;
    }
    settled.mMayHaveRun =
      mightHaveRun || reply.error().execution() != v1::EXECUTION_NOT_RUN;
    Move();
    std::this_thread::sleep_for(kRetryPause);
    while (settled.mMayHaveRun && Clock::now() < aGiveUpAt) {
      if (LookUp(aRequest, settled)) {
        break;
      }
      Move();
      std::this_thread::sleep_for(kRetryPause);
    }
    if (settled.mAcknowledged) {
      return settled;
    }
  }
  return settled;
}

bool
LoadSession::LookUp(const v1::ExecuteRequest& aRequest, Settled& aSettled)
{
  v1::OutcomeRequest request;
  request.set_group(aRequest.group());
  request.set_request_id(aRequest.request_id());
  request.set_session_token(aRequest.session_token());
  request.set_timeout_ms(aRequest.timeout_ms());
  const v1::OutcomeReply reply = mContext.mClient.Outcome(mInstance, mNumber, request);
  if (reply.has_error()) {
    mContext.mTally.CountError("outcome." + reply.error().kind());
    return false;
  }
  if (reply.execution() == v1::EXECUTION_RAN) {
    aSettled.mAcknowledged = true;
    aSettled.mMayHaveRun = false;
    aSettled.mPosition = PositionOf(reply.position());
    aSettled.mAffected = reply.affected();
    if (!reply.session_token().empty()) {
      mToken = reply.session_token();
    }
    return true;
  }
  aSettled.mMayHaveRun = reply.execution() != v1::EXECUTION_NOT_RUN;
  return !aSettled.mMayHaveRun;
}

void
LoadSession::RecordWrite(const Operation& aWrite,
                         const RequestId& aRequest,
                         const Settled& aSettled)
{
  const bool versioned = aWrite.mKind == RegisterKind::Version;
  if (!aSettled.mAcknowledged) {
    if (!aSettled.mMayHaveRun) {
      mContext.mLedger.SettleWithoutEffect(aRequest);
    }
    if (versioned && aSettled.mMayHaveRun) {
      mContext.mHistory.Retire(aWrite.mRegister);
    } else if (versioned) {
      mContext.mHistory.AbandonVersion(aWrite.mRegister);
    }
    return;
  }
  mContext.mLedger.Acknowledge(aRequest, aSettled.mPosition);
  if (!versioned) {
    mContext.mHistory.AcknowledgeAdd(aWrite.mRegister, Clock::now());
    ++mOwn.mValues[aWrite.mRegister];
  } else {
    mContext.mHistory.AcknowledgeVersion(aWrite.mRegister, aWrite.mVersion, Clock::now());
    mOwn.mValues[aWrite.mRegister] = aWrite.mVersion;
  }
  Operation read = aWrite;
  read.mName = "own_" + aWrite.mName;
  read.mWrite = false;
  read.mStatement = (versioned ? "GET " : "COUNT ") + aWrite.mRegister;
  mOwn.mReadLast = std::move(read);
}

void
LoadSession::RecordLatency(const Operation& aOperation, const Arrival& aArrival) const
{
  const auto taken = std::chrono::duration_cast<std::chrono::microseconds>(
    Clock::now() - aArrival.mIntended);
  const char* total = aOperation.mWrite ? "latency.write" : "latency.read";
  const auto value = static_cast<double>(taken.count());
  mContext.mMetrics.Record(total, "us", value);
  mContext.mMetrics.Record("latency." + aOperation.mName, "us", value);
}

} // namespace papayaspindle::experiment
