#pragma once

#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace grpc {
class Channel;
class ChannelCredentials;
}

namespace papayaspindle {

/** How gRPC channels are opened. */
struct ChannelSettings
{
  /** Name of this instance, sent with each call as x-papayaspindle-from. */
  std::string mInstance;
  /** Null for plain TCP. */
  std::shared_ptr<grpc::ChannelCredentials> mCredentials;
  /** Limit of one message, both ways. */
  std::size_t mMaxMessageBytes = std::size_t{ 8 } * 1024 * 1024;
  /** Time limit of one connection attempt. */
  std::chrono::milliseconds mConnectTimeout{ 1'000 };
  std::chrono::milliseconds mInitialBackoff{ 50 };
  std::chrono::milliseconds mMaxBackoff{ 500 };
  /**
   * Interval of HTTP/2 pings. gRPC servers with default settings close a connection
   * whose client pings more often than every 5 minutes without sending data.
   */
  std::chrono::milliseconds mKeepaliveTime{ 310'000 };
  /**
   * Time limit of a ping's answer. gRPC also sets it as TCP_USER_TIMEOUT, so that a
   * connection whose sent data stays unacknowledged for this long ends.
   */
  std::chrono::milliseconds mKeepaliveTimeout{ 2'000 };
};

/**
 * One gRPC channel for each address, opened at the first use. Thread-safe; its lock is a
 * leaf. The connections of two tables are never shared.
 */
class ChannelTable
{
public:
  explicit ChannelTable(ChannelSettings aSettings);
  ~ChannelTable();

  /**
   * @param aAddress "ip:port"
   * @return the address's channel
   */
  std::shared_ptr<grpc::Channel> Channel(std::string_view aAddress);
  /**
   * Drops a channel, so that the next call opens a new connection. Calls that still run
   * on it are not disturbed.
   *
   * @param aChannel dropped only when the table still holds this channel
   */
  void Replace(std::string_view aAddress, const std::shared_ptr<grpc::Channel>& aChannel);
  /** Drops the channel of an address that is no longer used. */
  void Forget(std::string_view aAddress);
  /** @return number of channels */
  [[nodiscard]] std::size_t Size() const;
  [[nodiscard]] const ChannelSettings& Settings() const;

private:
  struct Private;
  std::unique_ptr<Private> mPrivate;
};

} // namespace papayaspindle
