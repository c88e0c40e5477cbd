#pragma once

#include "core/timetypes.h"
#include "proxy/tables/relaymessages.h"
#include "proxy/tables/tablechanges.h"

#include <functional>
#include <string>
#include <vector>

namespace papayaspindle::proxy {

/** Functions that a fallback reader depends on. */
struct FallbackReaderHooks
{
  /** Reads the whole table from the store. */
  std::function<void(TimePoint, std::function<void(const ReadResult&)>)> mRead;
  QueryReaderHook mQueryReader;
  /** @return instances that can read the store on behalf of this one, the preferred one
   * first */
  std::function<std::vector<std::string>()> mSubstitutes;
  /** @return whether the last call of this instance to the store has failed */
  std::function<bool()> mIsStoreLost;
  /** @return newest known incarnation of the store; 0 if it announces none */
  std::function<std::uint64_t()> mIncarnation = [] { return 0; };
  /** Called when a substitute knows a newer incarnation of the store. May be empty. */
  std::function<void(std::uint64_t aIncarnation)> mOnIncarnation;
  std::function<TimePoint()> mNow;
};

/**
 * Reads a whole table as it is at the time of the request.
 *
 * The store is read directly. While it doesn't answer this instance, another instance
 * reads it on behalf of this one; a copy that the other instance already has is not
 * sufficient.
 */
class FallbackReader
{
public:
  /** Called with the result and the time after which the table was read; the store has
   * answered this instance itself if aIsDirect is true. */
  using ResultHook =
    std::function<void(const ReadResult&, TimePoint aSentAt, bool aIsDirect)>;

  FallbackReader(std::string aTable, FallbackReaderHooks aHooks);

  void Read(TimePoint aNow, const ResultHook& aHook);

private:
  void QuerySubstitute(std::vector<std::string> aSubstitutes, const ResultHook& aHook);

  std::string mTable;
  FallbackReaderHooks mHooks;
};

} // namespace papayaspindle::proxy
