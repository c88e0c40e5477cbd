#pragma once

#include "backend.pb.h"
#include "core/ids.h"
#include "core/logposition.h"

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace papayaspindle::experiment {

/** What the caller was told of a write in the end. */
enum class WriteOutcome : std::uint8_t
{
  /** May have run; no answer settled it. */
  Unknown,
  Acknowledged,
  /** Answered as not run, or as run without a change. */
  WithoutEffect,
};

/** What the logs say of the writes of one experiment. */
struct WriteVerdict
{
  std::uint64_t mAcknowledged = 0;
  std::uint64_t mUnknown = 0;
  /** Acknowledged, but not in the log. */
  std::uint64_t mLost = 0;
  /** In the log more than once. */
  std::uint64_t mDoubled = 0;
  /** In the log though the answer said that it had no effect. */
  std::uint64_t mRanAfterRefusal = 0;
  /** In the log with another statement or at another position than acknowledged. */
  std::uint64_t mAltered = 0;
  /** The first few request ids that broke a rule. */
  std::vector<std::string> mExamples;

  [[nodiscard]] bool IsGood() const
  {
    return mLost + mDoubled + mRanAfterRefusal + mAltered == 0;
  }
};

/** Every write that was sent, by request id. Thread-safe; its lock is a leaf. */
class WriteLedger
{
public:
  /** Notes a write before it is sent; its outcome is unknown until it is settled. */
  void Intend(const RequestId& aRequest,
              const GroupId& aGroup,
              const std::string& aStatement);
  void Acknowledge(const RequestId& aRequest, const LogPosition& aPosition);
  void SettleWithoutEffect(const RequestId& aRequest);

  /**
   * Compares the writes with the logs.
   *
   * @param aLogs the whole log of each group's primary; writes of other groups are not
   * checked
   */
  [[nodiscard]] WriteVerdict Verify(
    const std::map<GroupId, std::vector<v1::LogEntry>>& aLogs) const;

private:
  struct Write
  {
    GroupId mGroup;
    std::string mStatement;
    WriteOutcome mOutcome = WriteOutcome::Unknown;
    LogPosition mPosition;
  };
  using EntriesById = std::multimap<std::string, const v1::LogEntry*>;

  static void VerifyWrite(const std::string& aId,
                          const Write& aWrite,
                          const EntriesById& aEntries,
                          WriteVerdict& aVerdict);

  mutable std::mutex mMutex;
  std::map<RequestId, Write> mWrites;
};

} // namespace papayaspindle::experiment
