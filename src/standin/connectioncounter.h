#pragma once

#include <cstdint>
#include <mutex>

namespace papayaspindle::standin {

/** Counts open connections against a limit. Thread-safe. */
class ConnectionCounter
{
public:
  explicit ConnectionCounter(std::uint32_t aLimit)
    : mLimit(aLimit)
  {
  }

  /** @return whether the connection has a place; then Leave() gives it back */
  bool Enter();
  void Leave();

  [[nodiscard]] std::uint32_t Open() const;
  /** @return most connections open at once so far */
  [[nodiscard]] std::uint32_t Highest() const;
  [[nodiscard]] std::uint64_t Refused() const;

private:
  mutable std::mutex mMutex;
  std::uint32_t mLimit;
  std::uint32_t mOpen = 0;
  std::uint32_t mHighest = 0;
  std::uint64_t mRefused = 0;
};

} // namespace papayaspindle::standin
