#pragma once

#include <atomic>
#include <cstdint>

namespace papayaspindle {

/** What a PeerClient or PeerServer has carried so far, for metrics. */
struct PeerTraffic
{
  std::uint64_t mRequests = 0;
  /** Bytes of HTTP/2 frames, without TLS and TCP overhead. */
  std::uint64_t mBytesIn = 0;
  std::uint64_t mBytesOut = 0;
  /** Connections that are open now. */
  std::uint64_t mConnections = 0;
  /** Connections opened or accepted so far. */
  std::uint64_t mConnectionsOpened = 0;
};

/** The counters behind PeerTraffic. Thread-safe. */
struct PeerCounters
{
  std::atomic<std::uint64_t> mRequests = 0;
  std::atomic<std::uint64_t> mBytesIn = 0;
  std::atomic<std::uint64_t> mBytesOut = 0;
  std::atomic<std::uint64_t> mConnections = 0;
  std::atomic<std::uint64_t> mConnectionsOpened = 0;

  [[nodiscard]] PeerTraffic Snapshot() const
  {
    return PeerTraffic{
      mRequests, mBytesIn, mBytesOut, mConnections, mConnectionsOpened
    };
  }
};

} // namespace papayaspindle
