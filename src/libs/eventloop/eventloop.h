#pragma once

#include "core/timetypes.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>

namespace papayaspindle {

/** Waits for descriptors on one thread. */
class EventLoop
{
public:
  /** Takes the ready events (EPOLLIN, EPOLLOUT, ...). */
  using ReadyHook = std::function<void(std::uint32_t aEvents)>;

  /** @throws std::system_error when the system gives no descriptor */
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /** Calls the hook when the descriptor is ready. */
  void Watch(int aDescriptor, std::uint32_t aEvents, ReadyHook aHook);
  /** Changes the events of a watched descriptor. */
  void Change(int aDescriptor, std::uint32_t aEvents);
  /** Ends the calls for a descriptor; called before it is closed. */
  void Unwatch(int aDescriptor);
  /** Waits until a descriptor is ready or the time has come, and runs the hooks. */
  void RunOnce(TimePoint aUntil);

  /** @return time since the machine started, including time in which it was suspended */
  static TimePoint Now();

private:
  struct Entry
  {
    std::uint64_t mGeneration = 0;
    std::shared_ptr<ReadyHook> mHook;
  };

  int mEpoll = -1;
  std::uint64_t mNextGeneration = 1;
  std::unordered_map<int, Entry> mEntries;
};

} // namespace papayaspindle
