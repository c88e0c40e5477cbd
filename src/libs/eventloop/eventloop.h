#pragma once

#include "core/timetypes.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>
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
  /** Takes what failed and why. */
  using FailureHook = std::function<void(std::string_view aWhat, std::string_view aWhy)>;
  /** Takes exceptions of hooks, which otherwise leave RunOnce. */
  void SetFailureHook(FailureHook aHook);
  /** Runs a task; an exception goes to the failure hook. @param aWhat name in the report
   */
  void RunGuarded(std::string_view aWhat, const std::function<void()>& aTask);
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
  FailureHook mFailureHook;
  std::uint64_t mNextGeneration = 1;
  std::unordered_map<int, Entry> mEntries;
};

} // namespace papayaspindle
