#include "standin/memberlog.h"

#include <algorithm>
#include <utility>

namespace papayaspindle::standin {

namespace {

LogPosition
PositionOf(const v1::LogEntry& aEntry)
{
  return { aEntry.position().term(), aEntry.position().index() };
}

} // namespace

LogPosition
MemberLog::Last() const
{
  return PositionAt(mEntries.size());
}

LogPosition
MemberLog::PositionAt(std::uint64_t aIndex) const
{
  if (aIndex == 0 || aIndex > mEntries.size()) {
    return {};
  }
  return PositionOf(mEntries[aIndex - 1]);
}

const v1::LogEntry&
MemberLog::EntryAt(std::uint64_t aIndex) const
{
  return mEntries[aIndex - 1];
}

const v1::LogEntry*
MemberLog::FindRequest(const std::string& aRequestId) const
{
  const auto found = mIndexByRequest.find(aRequestId);
  return found == mIndexByRequest.end() ? nullptr : &EntryAt(found->second);
}

bool
MemberLog::Append(v1::LogEntry aEntry)
{
  const LogPosition position = PositionOf(aEntry);
  if (position.mIndex != mEntries.size() + 1 || position.mTerm < Last().mTerm) {
    return false;
  }
  if (!aEntry.request_id().empty()) {
    mIndexByRequest.try_emplace(aEntry.request_id(), position.mIndex);
  }
  mEntries.push_back(std::move(aEntry));
  return true;
}

void
MemberLog::TruncateAfter(std::uint64_t aIndex)
{
  while (mEntries.size() > aIndex) {
    const auto found = mIndexByRequest.find(mEntries.back().request_id());
    if (found != mIndexByRequest.end() && found->second == mEntries.size()) {
      mIndexByRequest.erase(found);
    }
    mEntries.pop_back();
  }
}

std::vector<LogPosition>
MemberLog::TermEnds() const
{
  std::vector<LogPosition> ends;
  for (const v1::LogEntry& entry : mEntries) {
    const LogPosition position = PositionOf(entry);
    if (!ends.empty() && ends.back().mTerm == position.mTerm) {
      ends.back() = position;
    } else {
      ends.push_back(position);
    }
  }
  return ends;
}

LogPosition
MemberLog::CommonWith(const std::vector<LogPosition>& aTermEnds) const
{
  const std::vector<LogPosition> ownEnds = TermEnds();
  for (auto theirs = aTermEnds.rbegin(); theirs != aTermEnds.rend(); ++theirs) {
    const auto own =
      std::find_if(ownEnds.begin(), ownEnds.end(), [&](const LogPosition& aEnd) {
        return aEnd.mTerm == theirs->mTerm;
      });
    if (own != ownEnds.end()) {
      return { own->mTerm, std::min(own->mIndex, theirs->mIndex) };
    }
  }
  return {};
}

std::vector<v1::LogEntry>
MemberLog::EntriesAfter(std::uint64_t aIndex, std::size_t aLimit) const
{
  const std::size_t begin = std::min<std::size_t>(aIndex, mEntries.size());
  const std::size_t end = begin + std::min(aLimit, mEntries.size() - begin);
  return { mEntries.begin() + static_cast<std::ptrdiff_t>(begin),
           mEntries.begin() + static_cast<std::ptrdiff_t>(end) };
}

} // namespace papayaspindle::standin
