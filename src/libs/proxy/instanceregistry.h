#pragma once

#include "core/timetypes.h"
#include "proxy/rowstore.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace papayaspindle::proxy {

/** Table of the shared store with one row for each instance. */
inline constexpr std::string_view kInstanceTable = "papayaspindle-instances";

/**
 * Counts the instances that share the members' connections.
 *
 * Each instance rewrites its row in the shared store and reads all rows now and then; an
 * instance counts while its row changes. While the store is away, the last count stands.
 */
class InstanceRegistry
{
public:
  /** Takes the number of instances when it changes. */
  using CountHook = std::function<void(std::uint32_t)>;

  InstanceRegistry(std::string aInstance,
                   SharedStore aStore,
                   std::function<TimePoint()> aNow,
                   CountHook aHook);

  void OnTimer(TimePoint aNow);
  /** @return when OnTimer is due */
  [[nodiscard]] TimePoint NextTimer() const { return mNextBeat; }
  /** @return instances that count, this one included */
  [[nodiscard]] std::uint32_t Count() const { return mCount; }

private:
  struct Seen
  {
    std::uint64_t mRevision = 0;
    TimePoint mChangedAt;
  };

  void WriteRow();
  void OnRead(const ReadResult& aResult);

  std::string mInstance;
  SharedStore mStore;
  std::function<TimePoint()> mNow;
  CountHook mHook;
  std::map<std::string, Seen> mSeen;
  std::uint64_t mOwnRevision = 0;
  std::uint64_t mBeats = 0;
  std::uint32_t mCount = 0;
  TimePoint mNextBeat;
};

} // namespace papayaspindle::proxy
