#include "transport/peersocket.h"

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SSLException.h>
#include <Poco/Net/SecureStreamSocket.h>

#include <openssl/err.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <cstring>

namespace papayaspindle {

namespace {

bool
IsCertificateFault(const Poco::Exception& aException)
{
  // OpenSSL names the alerts "unknown ca", "bad certificate", "certificate required" and
  // so on, and its own refusal "certificate verify failed".
  const std::string text = aException.displayText();
  return text.find("certificate") != std::string::npos ||
         text.find("unknown ca") != std::string::npos;
}

} // namespace

PeerSocket
PeerSocket::Connect(const Poco::Net::SocketAddress& aAddress,
                    const Poco::Net::Context::Ptr& aTls)
{
  Poco::Net::StreamSocket socket;
  if (aTls) {
    socket = Poco::Net::SecureStreamSocket(aTls);
  }
  socket.connectNB(aAddress);
  return { socket, !aTls.isNull() };
}

PeerSocket
PeerSocket::Accept(const Poco::Net::StreamSocket& aAccepted,
                   const Poco::Net::Context::Ptr& aTls)
{
  if (!aTls) {
    return { aAccepted, false };
  }
  return { Poco::Net::SecureStreamSocket::attach(aAccepted, aTls), true };
}

PeerSocket::PeerSocket(const Poco::Net::StreamSocket& aSocket, bool aTls)
  : mSocket(aSocket)
  , mTls(aTls)
{
  mSocket.setBlocking(false);
  mSocket.setNoDelay(true);
}

template<typename Transfer>
IoOutcome
PeerSocket::Try(Transfer aTransfer, IoOutcome::Kind aWhenBusy)
{
  using Kind = IoOutcome::Kind;
  if (mTls) {
    // OpenSSL's error queue is the thread's; another connection's error in it would be
    // taken for this one's.
    ERR_clear_error();
  }
  try {
    const int count = aTransfer();
    if (count > 0) {
      return { Kind::Progress, static_cast<std::size_t>(count), {}, false };
    }
    if (count == 0) {
      return { Kind::Ended, 0, "the peer closed the connection", false };
    }
    if (mTls) {
      const bool wantsWrite = count == Poco::Net::SecureStreamSocket::ERR_SSL_WANT_WRITE;
      return { wantsWrite ? Kind::WantsWrite : Kind::WantsRead, 0, {}, false };
    }
    return { aWhenBusy, 0, {}, false };
  } catch (const Poco::TimeoutException&) {
    return { aWhenBusy, 0, {}, false };
  } catch (const Poco::Net::SSLException& exception) {
    return { Kind::Failed, 0, exception.displayText(), IsCertificateFault(exception) };
  } catch (const Poco::Exception& exception) {
    if (exception.code() == EAGAIN) {
      return { aWhenBusy, 0, {}, false };
    }
    return { Kind::Failed, 0, exception.displayText(), false };
  }
}

IoOutcome
PeerSocket::Read(std::span<char> aBuffer)
{
  return Try(
    [&] {
      return mSocket.receiveBytes(aBuffer.data(), static_cast<int>(aBuffer.size()));
    },
    IoOutcome::Kind::WantsRead);
}

IoOutcome
PeerSocket::Write(std::string_view aBytes)
{
  return Try(
    [&] { return mSocket.sendBytes(aBytes.data(), static_cast<int>(aBytes.size())); },
    IoOutcome::Kind::WantsWrite);
}

std::string
PeerSocket::ConnectError()
{
  const int error = mSocket.impl()->socketError();
  if (error == 0) {
    return {};
  }
  return error == ECONNREFUSED ? "connection refused" : std::strerror(error);
}

void
PeerSocket::EndSending()
{
  // Poco's TLS shutdown waits for the other side; the replies' checks already tell a
  // truncated answer from a whole one.
  ::shutdown(mSocket.impl()->sockfd(), SHUT_WR);
}

IoOutcome
PeerSocket::Drain()
{
  std::array<char, 4096> dropped{};
  for (;;) {
    const ssize_t count =
      ::recv(mSocket.impl()->sockfd(), dropped.data(), dropped.size(), MSG_DONTWAIT);
    if (count < 0 && errno == EAGAIN) {
      return { IoOutcome::Kind::WantsRead, 0, {}, false };
    }
    if (count <= 0) {
      return { IoOutcome::Kind::Ended, 0, "the connection has ended", false };
    }
  }
}

void
PeerSocket::Close()
{
  try {
    mSocket.close();
  } catch (const Poco::Exception&) {
    // Nothing is left to be done for a connection that fails to close.
  }
}

} // namespace papayaspindle
