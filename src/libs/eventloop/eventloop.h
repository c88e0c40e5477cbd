#pragma once

#include "core/timetypes.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>
#include <unordered_map>

namespace papayaspindle {

/** Waits for events of file descriptors and calls their hooks, on one thread. */
class EventLoop
{
public:
  /** Receives the ready events (EPOLLIN, EPOLLOUT, ...). */
  using ReadyHook = std::function<void(std::uint32_t aEvents)>;

  /** @throws std::system_error when the system has no descriptor left for epoll */
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /**
   * Calls a hook whenever the descriptor is ready.
   *
   * @param aEvents events to wait for (EPOLLIN, EPOLLOUT, ...)
   * @throws std::system_error when the descriptor can't be added
   */
  void AddDescriptor(int aDescriptor, std::uint32_t aEvents, ReadyHook aHook);
  /** Changes the events to wait for; does nothing for a descriptor that was not added. */
  void SetEvents(int aDescriptor, std::uint32_t aEvents);
  /** Ends the calls for a descriptor; must be called before the descriptor is closed. */
  void RemoveDescriptor(int aDescriptor);
  /** Receives the name of the task that failed and the text of its exception. */
  using FailureHook =
    std::function<void(std::string_view aTaskName, std::string_view aReason)>;
  /** Sets the hook for exceptions of hooks and tasks. Without it, they propagate out of
   * RunOnce and RunGuarded. */
  void SetFailureHook(FailureHook aHook);
  /**
   * Runs a task; an exception goes to the failure hook.
   *
   * @param aTaskName name of the task for the failure hook
   */
  void RunGuarded(std::string_view aTaskName, const std::function<void()>& aTask);
  /** Waits until a descriptor is ready, at most until aUntil, and calls the hooks. */
  void RunOnce(TimePoint aUntil);

  /** @return time since the machine started, including time that it was suspended */
  static TimePoint Now();

private:
  struct Entry
  {
    /** Distinguishes this entry from earlier ones with the same descriptor. */
    std::uint64_t mGeneration = 0;
    std::shared_ptr<ReadyHook> mHook;
  };

  int mEpoll = -1;
  FailureHook mFailureHook;
  std::uint64_t mNextGeneration = 1;
  std::unordered_map<int, Entry> mEntries;
};

} // namespace papayaspindle
