#pragma once

#include "transport/peermessage.h"

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Timespan.h>

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace papayaspindle::test {

// Frame types and flags of HTTP/2 (RFC 9113).
constexpr std::uint8_t kDataFrame = 0;
constexpr std::uint8_t kHeadersFrame = 1;
constexpr std::uint8_t kResetFrame = 3;
constexpr std::uint8_t kSettingsFrame = 4;
constexpr std::uint8_t kPingFrame = 6;
constexpr std::uint8_t kGoawayFrame = 7;
constexpr std::uint8_t kEndStream = 1;
constexpr std::uint8_t kAcknowledge = 1;
constexpr std::uint8_t kEndHeaders = 4;

inline std::string
Number(std::uint32_t aValue)
{
  std::string bytes;
  for (int shift = 24; shift >= 0; shift -= 8) {
    bytes.push_back(static_cast<char>(aValue >> shift));
  }
  return bytes;
}

inline std::string
Frame(std::uint8_t aType,
      std::uint8_t aFlags,
      std::int32_t aStream,
      std::string_view aPayload)
{
  std::string frame = Number(static_cast<std::uint32_t>(aPayload.size())).substr(1);
  frame.push_back(static_cast<char>(aType));
  frame.push_back(static_cast<char>(aFlags));
  return frame + Number(static_cast<std::uint32_t>(aStream)) + std::string(aPayload);
}

/** @return frames of one reply; the check is made for the stream aCheckedStream */
inline std::string
Reply(std::int32_t aStream,
      std::string_view aBody,
      std::int32_t aCheckedStream,
      std::string_view aCheckedBody)
{
  const std::string check =
    BodyCheck(aCheckedStream, ReplyContext(kStatusOk, "Echo"), aCheckedBody);
  // HPACK: 0x88 is ":status: 200"; 0 starts a literal field with a literal name.
  std::string trailer(1, '\0');
  trailer.push_back(static_cast<char>(kBodyCheckHeader.size()));
  trailer.append(kBodyCheckHeader);
  trailer.push_back(static_cast<char>(check.size()));
  trailer.append(check);
  return Frame(kHeadersFrame, kEndHeaders, aStream, "\x88") +
         Frame(kDataFrame, 0, aStream, aBody) +
         Frame(kHeadersFrame, kEndHeaders | kEndStream, aStream, trailer);
}

inline std::string
Reply(std::int32_t aStream, std::string_view aBody)
{
  return Reply(aStream, aBody, aStream, aBody);
}

/** A connection of a RawPeer: frames without any check of the protocol. */
class RawConnection
{
public:
  explicit RawConnection(Poco::Net::StreamSocket& aSocket)
    : mSocket(aSocket)
  {
  }

  void Send(std::string_view aBytes)
  {
    mSocket.sendBytes(aBytes.data(), static_cast<int>(aBytes.size()));
  }
  void SendSettings() { Send(Frame(kSettingsFrame, 0, 0, {})); }

  /** @return the stream of the next whole request; 0 when the client has closed */
  std::int32_t NextRequest()
  {
    if (mFirst) {
      ReadExactly(24);
      mFirst = false;
    }
    for (;;) {
      const std::string header = ReadExactly(9);
      if (header.empty()) {
        return 0;
      }
      const auto byte = [&](int aIndex) {
        return static_cast<std::uint8_t>(header[static_cast<std::size_t>(aIndex)]);
      };
      const std::string payload = ReadExactly(byte(0) * 65536 + byte(1) * 256 + byte(2));
      if (byte(3) == kPingFrame) {
        Send(Frame(kPingFrame, kAcknowledge, 0, payload));
      }
      const bool ends = byte(3) <= kHeadersFrame && (byte(4) & kEndStream) != 0;
      if (ends) {
        return byte(7) * 256 + byte(8);
      }
    }
  }

  /** Goes silent: reads and never answers, not even pings. */
  void ReadUntilClosed()
  {
    std::array<char, 4096> buffer{};
    while (mSocket.receiveBytes(buffer.data(), static_cast<int>(buffer.size())) > 0) {
    }
  }

private:
  std::string ReadExactly(int aCount)
  {
    std::string bytes(static_cast<std::size_t>(aCount), '\0');
    int got = 0;
    while (got < aCount) {
      const int count = mSocket.receiveBytes(bytes.data() + got, aCount - got);
      if (count <= 0) {
        return {};
      }
      got += count;
    }
    return bytes;
  }

  Poco::Net::StreamSocket& mSocket;
  bool mFirst = true;
};

/** A peer whose script may break the protocol; the script gets each connection's number.
 */
class RawPeer
{
public:
  using Script = std::function<void(RawConnection&, int)>;

  explicit RawPeer(Script aScript)
    : mScript(std::move(aScript))
    , mListener(Poco::Net::SocketAddress("127.0.0.1", 0))
    , mThread([this] { Accept(); })
  {
  }
  ~RawPeer()
  {
    mStopping = true;
    mThread.join();
  }

  [[nodiscard]] std::string Address() const { return mListener.address().toString(); }
  [[nodiscard]] int Connections() const { return mConnections; }

private:
  void Accept()
  {
    std::vector<std::thread> threads;
    std::vector<Poco::Net::StreamSocket> sockets;
    while (!mStopping) {
      if (mListener.poll(Poco::Timespan(0, 10'000), Poco::Net::Socket::SELECT_READ)) {
        sockets.push_back(mListener.acceptConnection());
        threads.emplace_back(
          [this, socket = sockets.back(), number = ++mConnections]() mutable {
            Serve(socket, number);
          });
      }
    }
    for (Poco::Net::StreamSocket& socket : sockets) {
      try {
        socket.shutdown();
      } catch (const Poco::Exception&) {
        // The script has closed this connection.
      }
    }
    for (std::thread& thread : threads) {
      thread.join();
    }
  }

  void Serve(Poco::Net::StreamSocket& aSocket, int aNumber)
  {
    RawConnection connection(aSocket);
    try {
      mScript(connection, aNumber);
      aSocket.shutdown();
    } catch (const Poco::Exception&) {
      // The client closed first.
    }
  }

  Script mScript;
  Poco::Net::ServerSocket mListener;
  std::atomic<bool> mStopping = false;
  std::atomic<int> mConnections = 0;
  std::thread mThread;
};

} // namespace papayaspindle::test
