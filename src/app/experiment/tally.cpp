#include "experiment/tally.h"

namespace papayaspindle::experiment {

namespace {

constexpr std::size_t kMaxExamples = 10;

} // namespace

void
Tally::CountRead(ReadVerdict aVerdict, bool aReplica, const std::string& aExample)
{
  const std::lock_guard lock(mMutex);
  ++mValues.mReads;
  mValues.mReplicaReads += aReplica ? 1 : 0;
  mValues.mStaleReads += aVerdict == ReadVerdict::Stale ? 1 : 0;
  mValues.mOwnWritesMissing += aVerdict == ReadVerdict::OwnWriteMissing ? 1 : 0;
  mValues.mImpossibleReads += aVerdict == ReadVerdict::Impossible ? 1 : 0;
  if (aVerdict != ReadVerdict::Good && mValues.mExamples.size() < kMaxExamples) {
    mValues.mExamples.push_back(aExample);
  }
}

void
Tally::CountFailedRead()
{
  const std::lock_guard lock(mMutex);
  ++mValues.mFailedReads;
}

void
Tally::CountWrite(bool aAcknowledged)
{
  const std::lock_guard lock(mMutex);
  ++mValues.mWrites;
  mValues.mAcknowledgedWrites += aAcknowledged ? 1 : 0;
}

void
Tally::CountError(const std::string& aKind)
{
  const std::lock_guard lock(mMutex);
  ++mValues.mErrors[aKind];
}

void
Tally::CountMove()
{
  const std::lock_guard lock(mMutex);
  ++mValues.mMoves;
}

TallyValues
Tally::Values() const
{
  const std::lock_guard lock(mMutex);
  return mValues;
}

} // namespace papayaspindle::experiment
