#include "transport/ioloop.h"

#include <Poco/Exception.h>
#include <Poco/Net/PollSet.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Net/StreamSocketImpl.h>

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <map>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

namespace papayaspindle {

namespace {

using Poco::Net::PollSet;

// Longest wait, so that the loop's state stays current when no timer is set.
constexpr std::chrono::milliseconds kMaxWait{ 10'000 };

/** A socket around a descriptor that Poco did not make. */
class PairSocket : public Poco::Net::StreamSocket
{
public:
  explicit PairSocket(int aDescriptor)
    : StreamSocket(new Poco::Net::StreamSocketImpl(aDescriptor))
  {
  }
};

std::array<int, 2>
MakePair()
{
  std::array<int, 2> descriptors{};
  if (::socketpair(
        AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0, descriptors.data()) !=
      0) {
    throw Poco::IOException("cannot create the socket pair of an I/O loop");
  }
  return descriptors;
}

} // namespace

struct IoLoop::Private
{
  std::mutex mMutex;
  std::vector<Task> mTasks;
  bool mWakeSent = false;
  bool mStopping = false;

  // Of the loop's thread only.
  PollSet mSockets;
  std::map<const void*, std::shared_ptr<Task>> mReady;
  std::multimap<TimePoint, Task> mTimers;

  std::array<int, 2> mPair = MakePair();
  PairSocket mWakeReader{ mPair[0] };
  PairSocket mWakeWriter{ mPair[1] };
  std::thread mThread;

  void Run();
  void Wake();
  void DrainWake();
  bool RunTasks();
  void RunTimers();
  void WaitForSockets();
  [[nodiscard]] Poco::Timespan NextWait() const;
};

/** Called with the lock held. */
void
IoLoop::Private::Wake()
{
  if (!std::exchange(mWakeSent, true)) {
    ::send(mPair[1], "w", 1, MSG_DONTWAIT | MSG_NOSIGNAL);
  }
}

void
IoLoop::Private::DrainWake()
{
  std::array<char, 16> bytes{};
  // The reader is drained before the flag is cleared, so that no wake-up is lost.
  while (::recv(mPair[0], bytes.data(), bytes.size(), MSG_DONTWAIT) > 0) {
  }
}

bool
IoLoop::Private::RunTasks()
{
  std::vector<Task> tasks;
  bool stopping = false;
  {
    const std::lock_guard lock(mMutex);
    tasks.swap(mTasks);
    mWakeSent = false;
    stopping = mStopping;
  }
  for (const Task& task : tasks) {
    task();
  }
  return !stopping;
}

void
IoLoop::Private::RunTimers()
{
  while (!mTimers.empty() && mTimers.begin()->first <= Clock::now()) {
    const auto node = mTimers.extract(mTimers.begin());
    node.mapped()();
  }
}

Poco::Timespan
IoLoop::Private::NextWait() const
{
  auto wait = kMaxWait;
  if (!mTimers.empty()) {
    const auto left =
      std::chrono::ceil<std::chrono::milliseconds>(mTimers.begin()->first - Clock::now());
    wait = std::clamp(left, std::chrono::milliseconds(0), kMaxWait);
  }
  return Poco::Timespan(wait.count() * Poco::Timespan::MILLISECONDS);
}

void
IoLoop::Private::WaitForSockets()
{
  for (const auto& [socket, mode] : mSockets.poll(NextWait())) {
    const auto found = mReady.find(socket.impl());
    if (found == mReady.end()) {
      continue;
    }
    // The task may end the watch of its own socket.
    const std::shared_ptr<Task> ready = found->second;
    (*ready)();
  }
}

void
IoLoop::Private::Run()
{
  while (RunTasks()) {
    RunTimers();
    WaitForSockets();
  }
  mReady.clear();
  mTimers.clear();
  mSockets.clear();
}

IoLoop::IoLoop()
  : mPrivate(std::make_unique<Private>())
{
  Watch(mPrivate->mWakeReader, [state = mPrivate.get()] { state->DrainWake(); });
  mPrivate->mThread = std::thread([state = mPrivate.get()] { state->Run(); });
}

IoLoop::~IoLoop()
{
  Stop();
}

bool
IoLoop::Post(Task aTask)
{
  const std::lock_guard lock(mPrivate->mMutex);
  if (mPrivate->mStopping) {
    return false;
  }
  mPrivate->mTasks.push_back(std::move(aTask));
  mPrivate->Wake();
  return true;
}

void
IoLoop::Stop()
{
  {
    const std::lock_guard lock(mPrivate->mMutex);
    mPrivate->mStopping = true;
    mPrivate->Wake();
  }
  if (mPrivate->mThread.joinable()) {
    mPrivate->mThread.join();
  }
}

void
IoLoop::Watch(const Poco::Net::Socket& aSocket, Task aReady)
{
  // First what may throw, so that only sockets in the set have a task.
  mPrivate->mSockets.add(aSocket, PollSet::POLL_READ | PollSet::POLL_ERROR);
  mPrivate->mReady[aSocket.impl()] = std::make_shared<Task>(std::move(aReady));
}

void
IoLoop::WatchWrite(const Poco::Net::Socket& aSocket, bool aEnable)
{
  const int mode = PollSet::POLL_READ | PollSet::POLL_ERROR;
  mPrivate->mSockets.update(aSocket, aEnable ? mode | PollSet::POLL_WRITE : mode);
}

void
IoLoop::Unwatch(const Poco::Net::Socket& aSocket)
{
  if (mPrivate->mReady.erase(aSocket.impl()) > 0) {
    mPrivate->mSockets.remove(aSocket);
  }
}

void
IoLoop::RunAt(TimePoint aTime, Task aTask)
{
  mPrivate->mTimers.emplace(aTime, std::move(aTask));
}

} // namespace papayaspindle
