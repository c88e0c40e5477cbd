#pragma once

#include "core/error.h"
#include "settings/settings.h"

#include <memory>

namespace papayaspindle {

/** One entry instance: builds every manager and service, starts and drains them. */
class Server
{
public:
  explicit Server(const Settings& aSettings);
  /** Stops at once. */
  ~Server();

  /** Starts to serve. @return Internal when a listener cannot start */
  Status Start();
  /**
   * Announces the leave, refuses new work, finishes what is in flight, then stops.
   *
   * @return false when the drain deadline passed with work in flight, which then still
   * runs: the process must end without destroying this object
   */
  bool Drain();

private:
  struct Private;
  std::unique_ptr<Private> mPrivate;
};

} // namespace papayaspindle
