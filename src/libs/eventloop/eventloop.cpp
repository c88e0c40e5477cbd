#include "eventloop/eventloop.h"

#include <sys/epoll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <ctime>
#include <exception>
#include <system_error>

namespace papayaspindle {

namespace {

constexpr int kMaxEventsPerWait = 64;
// Descriptors are below 2^24. The other bits of an event's key hold the generation of the
// entry, which identifies events of an earlier descriptor with the same number.
constexpr unsigned kDescriptorBits = 24;
constexpr std::uint64_t kDescriptorMask = (1ULL << kDescriptorBits) - 1;

std::uint64_t
EventKey(int aDescriptor, std::uint64_t aGeneration)
{
  return (aGeneration << kDescriptorBits) | static_cast<std::uint64_t>(aDescriptor);
}

} // namespace

EventLoop::EventLoop()
  : mEpoll(epoll_create1(EPOLL_CLOEXEC))
{
  if (mEpoll < 0) {
    throw std::system_error(errno, std::generic_category(), "epoll_create1");
  }
}

EventLoop::~EventLoop()
{
  close(mEpoll);
}

void
EventLoop::AddDescriptor(int aDescriptor, std::uint32_t aEvents, ReadyHook aHook)
{
  const std::uint64_t generation = mNextGeneration++;
  epoll_event event{};
  event.events = aEvents;
  event.data.u64 = EventKey(aDescriptor, generation);
  if (epoll_ctl(mEpoll, EPOLL_CTL_ADD, aDescriptor, &event) != 0) {
    throw std::system_error(errno, std::generic_category(), "epoll_ctl add");
  }
  mEntries[aDescriptor] = { generation, std::make_shared<ReadyHook>(std::move(aHook)) };
}

void
EventLoop::SetEvents(int aDescriptor, std::uint32_t aEvents)
{
  const auto found = mEntries.find(aDescriptor);
  if (found == mEntries.end()) {
    return;
  }
  epoll_event event{};
  event.events = aEvents;
  event.data.u64 = EventKey(aDescriptor, found->second.mGeneration);
  if (epoll_ctl(mEpoll, EPOLL_CTL_MOD, aDescriptor, &event) != 0) {
    throw std::system_error(errno, std::generic_category(), "epoll_ctl mod");
  }
}

void
EventLoop::RemoveDescriptor(int aDescriptor)
{
  if (mEntries.erase(aDescriptor) > 0) {
    epoll_ctl(mEpoll, EPOLL_CTL_DEL, aDescriptor, nullptr);
  }
}

void
EventLoop::RunOnce(TimePoint aUntil)
{
  using std::chrono::milliseconds;
  const Duration left = aUntil - Now();
  // Rounded up, so that the wait doesn't end before aUntil.
  const auto timeout =
    std::max<std::int64_t>(std::chrono::ceil<milliseconds>(left).count(), 0);
  std::array<epoll_event, kMaxEventsPerWait> events{};
  const int count =
    epoll_wait(mEpoll, events.data(), kMaxEventsPerWait, static_cast<int>(timeout));
  if (count < 0 && errno != EINTR) {
    throw std::system_error(errno, std::generic_category(), "epoll_wait");
  }
  for (int index = 0; index < count; index++) {
    const epoll_event& event = events[static_cast<std::size_t>(index)];
    const auto descriptor = static_cast<int>(event.data.u64 & kDescriptorMask);
    const auto found = mEntries.find(descriptor);
    if (found == mEntries.end() ||
        EventKey(descriptor, found->second.mGeneration) != event.data.u64) {
      continue;
    }
    // The hook may remove its own descriptor; the copy keeps the hook alive.
    const std::shared_ptr<ReadyHook> hook = found->second.mHook;
    RunGuarded("event", [&] { (*hook)(event.events); });
  }
}

void
EventLoop::RunGuarded(std::string_view aTaskName, const std::function<void()>& aTask)
{
  try {
    aTask();
  } catch (const std::exception& failure) {
    if (!mFailureHook) {
      throw;
    }
    mFailureHook(aTaskName, failure.what());
  }
}

void
EventLoop::SetFailureHook(FailureHook aHook)
{
  mFailureHook = std::move(aHook);
}

TimePoint
EventLoop::Now()
{
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return TimePoint(std::chrono::seconds(time.tv_sec) +
                   std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace papayaspindle
