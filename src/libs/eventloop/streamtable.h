#pragma once

#include "eventloop/eventloop.h"
#include "eventloop/streamtypes.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace papayaspindle {

/** Non-blocking TCP streams and listeners on an event loop. */
class StreamTable
{
public:
  /** Takes a stream that a client has opened. */
  using AcceptHook = std::function<void(StreamKey)>;

  /** @param aLimit open streams; beyond it, accepted ones are closed at once */
  StreamTable(EventLoop& aLoop, std::size_t aLimit);
  ~StreamTable();
  StreamTable(const StreamTable&) = delete;
  StreamTable& operator=(const StreamTable&) = delete;

  /**
   * Accepts streams at an address for the life of the table.
   *
   * @param aAddress "IP:port"
   * @param aHooks hooks of each accepted stream
   * @throws Poco::Exception when the address can't be listened at
   */
  void Listen(const std::string& aAddress,
              const StreamLiveness& aLiveness,
              const StreamHooks& aHooks,
              AcceptHook aAccepted);
  /**
   * Opens a stream. A failure is reported by mEnded, never from within this call.
   *
   * @param aAddress "IP:port"
   */
  StreamKey Connect(const std::string& aAddress,
                    const StreamLiveness& aLiveness,
                    const StreamHooks& aHooks);
  /** Queues output; Flush sends it. */
  void Write(StreamKey aStream, std::string_view aBytes);
  /** Closes at once; queued output is lost. */
  void Close(StreamKey aStream);
  /** Closes after the queued output is sent; input is no longer reported. */
  void CloseAfterFlush(StreamKey aStream);
  /** Sends queued output and reports failures; called once for each turn of the loop. */
  void Flush();
  /** @return bytes that wait to be sent, of all streams */
  [[nodiscard]] std::size_t QueuedBytes() const { return mQueuedBytes; }

  /** @return open streams */
  [[nodiscard]] std::size_t size() const { return mStreams.size(); }

private:
  struct Stream;

  StreamKey Adopt(Poco::Net::StreamSocket aSocket,
                  const StreamLiveness& aLiveness,
                  const StreamHooks& aHooks,
                  bool aIsConnecting);
  void OnReady(StreamKey aKey, std::uint32_t aEvents);
  /** Ends a stream whose hooks throw, and passes the exception on. */
  void OnReadyGuarded(StreamKey aKey, std::uint32_t aEvents);
  void OnAcceptable(std::size_t aListener);
  bool Receive(StreamKey aKey, Stream& aStream);
  bool SendQueued(Stream& aStream);
  void End(StreamKey aKey);

  struct Listener
  {
    Poco::Net::ServerSocket mSocket;
    StreamLiveness mLiveness;
    StreamHooks mHooks;
    AcceptHook mAccepted;
  };

  EventLoop& mLoop;
  std::size_t mLimit;
  /** Output of all streams that waits to be sent. */
  std::size_t mQueuedBytes = 0;
  std::vector<Listener> mListeners;
  std::unordered_map<StreamKey, std::unique_ptr<Stream>> mStreams;
  std::vector<StreamKey> mDirty;
  std::vector<StreamKey> mFailed;
  StreamKey mNextKey = 1;
};

} // namespace papayaspindle
