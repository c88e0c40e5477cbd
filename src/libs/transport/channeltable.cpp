#include "transport/channeltable.h"

#include <grpcpp/grpcpp.h>

#include <functional>
#include <map>
#include <mutex>
#include <utility>

namespace papayaspindle {

namespace {

grpc::ChannelArguments
Arguments(const ChannelSettings& aSettings)
{
  const auto milliseconds = [](std::chrono::milliseconds aTime) {
    return static_cast<int>(aTime.count());
  };
  grpc::ChannelArguments arguments;
  // A transparent retry would send a request twice.
  arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
  arguments.SetInt(GRPC_ARG_SERVICE_CONFIG_DISABLE_RESOLUTION, 1);
  // With the process-wide pool a new channel would reuse the connection of the old one.
  arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
  arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
  arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS,
                   milliseconds(aSettings.mInitialBackoff));
  arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS,
                   milliseconds(aSettings.mMaxBackoff));
  // gRPC takes its "minimum backoff" as the time limit of a connection attempt.
  arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS,
                   milliseconds(aSettings.mConnectTimeout));
  arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, milliseconds(aSettings.mKeepaliveTime));
  arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS,
                   milliseconds(aSettings.mKeepaliveTimeout));
  arguments.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
  arguments.SetMaxReceiveMessageSize(static_cast<int>(aSettings.mMaxMessageBytes));
  arguments.SetMaxSendMessageSize(static_cast<int>(aSettings.mMaxMessageBytes));
  return arguments;
}

/** @return the target of an address; needs no name lookup */
std::string
Target(std::string_view aAddress)
{
  const bool isIpv6 = !aAddress.empty() && aAddress.front() == '[';
  return std::string(isIpv6 ? "ipv6:///" : "ipv4:///").append(aAddress);
}

} // namespace

struct ChannelTable::Private
{
  ChannelSettings mSettings;
  mutable std::mutex mMutex;
  std::map<std::string, std::shared_ptr<grpc::Channel>, std::less<>> mChannels;
};

ChannelTable::ChannelTable(ChannelSettings aSettings)
  : mPrivate(std::make_unique<Private>())
{
  mPrivate->mSettings = std::move(aSettings);
  if (!mPrivate->mSettings.mCredentials) {
    mPrivate->mSettings.mCredentials = grpc::InsecureChannelCredentials();
  }
}

ChannelTable::~ChannelTable() = default;

std::shared_ptr<grpc::Channel>
ChannelTable::Channel(std::string_view aAddress)
{
  const std::lock_guard lock(mPrivate->mMutex);
  auto found = mPrivate->mChannels.find(aAddress);
  if (found == mPrivate->mChannels.end()) {
    const ChannelSettings& settings = mPrivate->mSettings;
    auto channel = grpc::CreateCustomChannel(
      Target(aAddress), settings.mCredentials, Arguments(settings));
    found = mPrivate->mChannels.emplace(std::string(aAddress), std::move(channel)).first;
  }
  return found->second;
}

void
ChannelTable::Replace(std::string_view aAddress,
                      const std::shared_ptr<grpc::Channel>& aChannel)
{
  const std::lock_guard lock(mPrivate->mMutex);
  const auto found = mPrivate->mChannels.find(aAddress);
  if (found != mPrivate->mChannels.end() && found->second == aChannel) {
    mPrivate->mChannels.erase(found);
  }
}

void
ChannelTable::Forget(std::string_view aAddress)
{
  const std::lock_guard lock(mPrivate->mMutex);
  const auto found = mPrivate->mChannels.find(aAddress);
  if (found != mPrivate->mChannels.end()) {
    mPrivate->mChannels.erase(found);
  }
}

std::size_t
ChannelTable::Size() const
{
  const std::lock_guard lock(mPrivate->mMutex);
  return mPrivate->mChannels.size();
}

const ChannelSettings&
ChannelTable::Settings() const
{
  return mPrivate->mSettings;
}

} // namespace papayaspindle
