#pragma once

#include <Poco/Net/Context.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace papayaspindle {

/** What one attempt to read or write did. */
struct IoOutcome
{
  enum class Kind
  {
    /** mCount bytes were carried. */
    Progress,
    /** Nothing can be done until the socket can be read. */
    WantsRead,
    /** Nothing can be done until the socket can be written. */
    WantsWrite,
    /** The other side closed the connection. */
    Ended,
    Failed,
  };
  Kind mKind = Kind::Failed;
  std::size_t mCount = 0;
  std::string mMessage;
  /** A certificate was refused, on either side. */
  bool mUntrusted = false;
};

/** A non-blocking socket, with TLS when a context is given. Not thread-safe. */
class PeerSocket
{
public:
  /** Starts to connect. @throws Poco::Exception when the host refuses at once */
  static PeerSocket Connect(const Poco::Net::SocketAddress& aAddress,
                            const Poco::Net::Context::Ptr& aTls);
  /** Takes an accepted connection. @throws Poco::Exception */
  static PeerSocket Accept(const Poco::Net::StreamSocket& aAccepted,
                           const Poco::Net::Context::Ptr& aTls);

  IoOutcome Read(std::span<char> aBuffer);
  IoOutcome Write(std::string_view aBytes);
  /** @return the pending error of the connection attempt; empty for none */
  std::string ConnectError();
  /** Tells the other side that nothing more will be sent. */
  void EndSending();
  /** Reads and drops what has arrived, without TLS. @return WantsRead or Ended */
  IoOutcome Drain();
  void Close();
  [[nodiscard]] bool IsTls() const { return mTls; }
  [[nodiscard]] const Poco::Net::StreamSocket& Socket() const { return mSocket; }

private:
  PeerSocket(const Poco::Net::StreamSocket& aSocket, bool aTls);
  template<typename Transfer>
  IoOutcome Try(Transfer aTransfer, IoOutcome::Kind aWhenBusy);

  Poco::Net::StreamSocket mSocket;
  bool mTls = false;
};

} // namespace papayaspindle
