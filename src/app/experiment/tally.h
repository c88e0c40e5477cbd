#pragma once

#include "experiment/readchecker.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace papayaspindle::experiment {

/** Counts of one experiment. */
struct TallyValues
{
  std::uint64_t mReads = 0;
  std::uint64_t mReplicaReads = 0;
  std::uint64_t mFailedReads = 0;
  std::uint64_t mWrites = 0;
  std::uint64_t mAcknowledgedWrites = 0;
  std::uint64_t mStaleReads = 0;
  std::uint64_t mOwnWritesMissing = 0;
  std::uint64_t mImpossibleReads = 0;
  std::uint64_t mMoves = 0;
  /** Error answers by kind, of single attempts. */
  std::map<std::string, std::uint64_t> mErrors;
  /** The first few violations, for people. */
  std::vector<std::string> mExamples;
};

/** Counts while the experiment runs. Thread-safe; its lock is a leaf. */
class Tally
{
public:
  void CountRead(ReadVerdict aVerdict, bool aReplica, const std::string& aExample);
  void CountFailedRead();
  void CountWrite(bool aAcknowledged);
  void CountError(const std::string& aKind);
  void CountMove();
  [[nodiscard]] TallyValues Values() const;

private:
  mutable std::mutex mMutex;
  TallyValues mValues;
};

} // namespace papayaspindle::experiment
