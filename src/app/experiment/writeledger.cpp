#include "experiment/writeledger.h"

namespace papayaspindle::experiment {

namespace {

constexpr std::size_t kMaxExamples = 10;

void
Break(std::uint64_t& aCount, const std::string& aId, WriteVerdict& aVerdict)
{
  ++aCount;
  if (aVerdict.mExamples.size() < kMaxExamples) {
    aVerdict.mExamples.push_back(aId);
  }
}

} // namespace

void
WriteLedger::Intend(const RequestId& aRequest,
                    const GroupId& aGroup,
                    const std::string& aStatement)
{
  const std::lock_guard lock(mMutex);
  mWrites[aRequest] = { aGroup, aStatement, WriteOutcome::Unknown, {} };
}

void
WriteLedger::Acknowledge(const RequestId& aRequest, const LogPosition& aPosition)
{
  const std::lock_guard lock(mMutex);
  Write& write = mWrites.at(aRequest);
  write.mOutcome = WriteOutcome::Acknowledged;
  write.mPosition = aPosition;
}

void
WriteLedger::SettleWithoutEffect(const RequestId& aRequest)
{
  const std::lock_guard lock(mMutex);
  mWrites.at(aRequest).mOutcome = WriteOutcome::WithoutEffect;
}

WriteVerdict
WriteLedger::Verify(const std::map<GroupId, std::vector<v1::LogEntry>>& aLogs) const
{
  std::map<GroupId, EntriesById> entries;
  for (const auto& [group, log] : aLogs) {
    for (const v1::LogEntry& entry : log) {
      if (!entry.request_id().empty()) {
        entries[group].emplace(entry.request_id(), &entry);
      }
    }
  }
  const std::lock_guard lock(mMutex);
  WriteVerdict verdict;
  for (const auto& [request, write] : mWrites) {
    if (aLogs.contains(write.mGroup)) {
      VerifyWrite(request.Text(), write, entries[write.mGroup], verdict);
    }
  }
  return verdict;
}

void
WriteLedger::VerifyWrite(const std::string& aId,
                         const Write& aWrite,
                         const EntriesById& aEntries,
                         WriteVerdict& aVerdict)
{
  const bool acknowledged = aWrite.mOutcome == WriteOutcome::Acknowledged;
  aVerdict.mAcknowledged += acknowledged ? 1 : 0;
  aVerdict.mUnknown += aWrite.mOutcome == WriteOutcome::Unknown ? 1 : 0;
  const auto [first, end] = aEntries.equal_range(aId);
  if (first == end) {
    if (acknowledged) {
      Break(aVerdict.mLost, aId, aVerdict);
    }
    return;
  }
  if (std::next(first) != end) {
    Break(aVerdict.mDoubled, aId, aVerdict);
  }
  if (aWrite.mOutcome == WriteOutcome::WithoutEffect) {
    Break(aVerdict.mRanAfterRefusal, aId, aVerdict);
    return;
  }
  const v1::LogEntry& entry = *first->second;
  const LogPosition position{ entry.position().term(), entry.position().index() };
  const bool sameStatement =
    entry.statements_size() == 1 && entry.statements(0) == aWrite.mStatement;
  if (!sameStatement || (acknowledged && position != aWrite.mPosition)) {
    Break(aVerdict.mAltered, aId, aVerdict);
  }
}

} // namespace papayaspindle::experiment
