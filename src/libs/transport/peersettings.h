#pragma once

#include <Poco/Net/Context.h>

#include <chrono>
#include <cstddef>
#include <string>

namespace papayaspindle {

/** Limit of one peer message, both ways. */
constexpr std::size_t kDefaultMaxPeerMessageBytes = std::size_t{ 8 } * 1024 * 1024;

/** How a PeerClient connects. */
struct PeerClientSettings
{
  /** Null for plain TCP; see MakePeerClientContext. */
  Poco::Net::Context::Ptr mTls;
  std::size_t mMaxMessageBytes = kDefaultMaxPeerMessageBytes;
  /** Time limit from the connection attempt to the peer's first HTTP/2 frame. */
  std::chrono::milliseconds mConnectTimeout{ 1'000 };
  /** A connection with open requests on which nothing arrives for so long is pinged. */
  std::chrono::milliseconds mSilenceBeforePing{ 300 };
  /** A connection is replaced when nothing arrives for so long after a ping. */
  std::chrono::milliseconds mPingTimeout{ 500 };
  /** A connection without requests for so long is closed. */
  std::chrono::milliseconds mIdleTimeout{ 900'000 };
};

/** How a PeerServer listens. */
struct PeerServerSettings
{
  /** "ip:port"; port 0 takes a free one. */
  std::string mListenAddress;
  /** Null for plain TCP; see MakePeerServerContext. */
  Poco::Net::Context::Ptr mTls;
  std::size_t mMaxMessageBytes = kDefaultMaxPeerMessageBytes;
  /** Time limit from accepting a connection to its first HTTP/2 frame. */
  std::chrono::milliseconds mHandshakeTimeout{ 5'000 };
  /**
   * A connection on which nothing arrives for so long is closed. Longer than the
   * clients' idle timeout, so that no request meets a closing connection.
   */
  std::chrono::milliseconds mIdleTimeout{ 1'200'000 };
};

} // namespace papayaspindle
