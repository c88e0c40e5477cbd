#pragma once

#include "core/timetypes.h"
#include "proxy/hometable.h"
#include "proxy/rowstore.h"

#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>

namespace papayaspindle::proxy {

/** Table of the shared store with one row for each instance. */
inline constexpr std::string_view kInstanceTable = "papayaspindle-instances";

/**
 * Finds the other instances.
 *
 * Each instance rewrites its row in the shared store and reads all rows now and then; an
 * instance counts while its row changes. While the store is away, the last list stands.
 */
class InstanceRegistry
{
public:
  /** Takes the instances that live when they change, this one included. */
  using ChangedHook = std::function<void(std::span<const RegisteredInstance>)>;

  InstanceRegistry(RegisteredInstance aSelf,
                   SharedStore aStore,
                   std::function<TimePoint()> aNow,
                   ChangedHook aHook);

  /** Tells the others that this instance leaves. */
  void Leave();

  void OnTimer(TimePoint aNow);
  /** @return when OnTimer is due */
  [[nodiscard]] TimePoint NextTimer() const { return mNextBeat; }

private:
  struct Seen
  {
    std::uint64_t mRevision = 0;
    TimePoint mChangedAt;
    RegisteredInstance mInstance;
  };

  void WriteRow();
  /** @return pause until the next beat */
  [[nodiscard]] Duration NextPause();
  void OnRead(const ReadResult& aResult);

  RegisteredInstance mSelf;
  SharedStore mStore;
  std::function<TimePoint()> mNow;
  ChangedHook mHook;
  std::map<std::string, Seen> mSeen;
  std::uint64_t mOwnRevision = 0;
  TimePoint mWrittenAt;
  std::uint64_t mBeats = 0;
  /** What the hook was given last, as text. */
  std::string mReported;
  bool mHasReported = false;
  /** A read has shown many instances. */
  bool mHasSeenMany = false;
  TimePoint mNextBeat;
};

} // namespace papayaspindle::proxy
