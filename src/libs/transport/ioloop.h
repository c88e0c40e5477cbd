#pragma once

#include "core/timetypes.h"

#include <Poco/Net/Socket.h>

#include <functional>
#include <memory>

namespace papayaspindle {

/**
 * One thread that waits for sockets, timers and tasks. Post and Stop are thread-safe; the
 * other functions are called on the loop's thread only.
 */
class IoLoop
{
public:
  using Task = std::function<void()>;

  IoLoop();
  /** Stops the loop. */
  ~IoLoop();

  /** @return false when the loop has stopped; the task is then dropped */
  bool Post(Task aTask);
  /** Runs the tasks posted so far, then joins the thread. Not for the loop's thread. */
  void Stop();

  /**
   * Calls aReady whenever the socket can be read, or has failed.
   *
   * @throws Poco::Exception when the system takes no further socket
   */
  void Watch(const Poco::Net::Socket& aSocket, Task aReady);
  /** Calls the socket's task also when it can be written. */
  void WatchWrite(const Poco::Net::Socket& aSocket, bool aEnable);
  /** Ends the calls for a socket; called before the socket is closed. */
  void Unwatch(const Poco::Net::Socket& aSocket);
  /** Runs a task once at a time. Tasks whose time comes after Stop are dropped. */
  void RunAt(TimePoint aTime, Task aTask);

private:
  struct Private;
  std::unique_ptr<Private> mPrivate;
};

} // namespace papayaspindle
