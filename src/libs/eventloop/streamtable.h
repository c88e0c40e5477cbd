#pragma once

#include "eventloop/eventloop.h"
#include "eventloop/memoryaccount.h"
#include "eventloop/streamtypes.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <array>
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
  /** Bytes of queued output at which a stream ends unless SetOutputLimit sets others.
   * Limits the memory that a peer which doesn't read can occupy; room for several of the
   * largest answers. */
  static constexpr std::size_t kMaxQueuedBytes = 4U << 20U;

  /** Receives the key of an accepted stream. */
  using AcceptHook = std::function<void(StreamKey)>;

  /** @param aLimit number of open streams at which further accepted ones are closed at
   * once */
  StreamTable(EventLoop& aLoop, std::size_t aLimit);
  ~StreamTable();
  StreamTable(const StreamTable&) = delete;
  StreamTable& operator=(const StreamTable&) = delete;

  /** Accounts the buffers of all streams, by the uses in their hooks. The account limits
   * the queued output of all streams together, instead of a fixed limit. */
  void SetAccount(MemoryAccount* aAccount) { mAccount = aAccount; }

  /** Sets the bytes of queued output at which a stream with an output use ends. */
  void SetOutputLimit(MemoryUse aUse, std::size_t aBytes)
  {
    mOutputLimits[static_cast<std::size_t>(aUse)] = aBytes;
  }

  /**
   * Accepts streams at an address for the lifetime of the table.
   *
   * @param aAddress "IP:port"
   * @param aHooks hooks of each accepted stream
   * @param aAccepted called for each accepted stream
   * @throws Poco::Exception when the address can't be listened at
   */
  void Listen(const std::string& aAddress,
              const StreamLiveness& aLiveness,
              const StreamHooks& aHooks,
              AcceptHook aAccepted);
  /**
   * Opens a stream. A failure is reported through mEnded, never from within this call.
   *
   * @param aAddress "IP:port"
   * @return key of the stream, also when the connection fails
   */
  StreamKey Connect(const std::string& aAddress,
                    const StreamLiveness& aLiveness,
                    const StreamHooks& aHooks);
  /** Queues output, which Flush sends. The stream ends when too much output is queued. */
  void Write(StreamKey aStream, std::string_view aBytes);
  /** Closes the stream without waiting for its queued output; no hook is called any more.
   */
  void Close(StreamKey aStream);
  /** Closes the stream after its queued output is sent; no hook is called any more. */
  void CloseAfterFlush(StreamKey aStream);
  /** Stops or resumes reading from a stream. A paused stream receives no input and does
   * not notice that its peer has finished sending. */
  void SetPaused(StreamKey aStream, bool aIsPaused);
  /** Calls the input hook with the input that is left, if there is any. */
  void ProcessInput(StreamKey aStream);
  /** Sets the bytes that the stream's owner holds on its behalf outside of its buffers;
   * they are accounted like its input. */
  void SetHeldBytes(StreamKey aStream, std::size_t aBytes);
  /** Adds to the bytes of SetHeldBytes. */
  void AddHeldBytes(StreamKey aStream, std::size_t aBytes);
  /** @return bytes of a stream's queued output */
  [[nodiscard]] std::size_t QueuedOutput(StreamKey aStream) const;
  /**
   * Finds streams whose queued output is not read.
   *
   * @param aUse output use of the streams to check
   * @param aTimeout time within which all output that was queued at its start must be
   * sent
   * @return keys of the streams that have exceeded the time
   */
  std::vector<StreamKey> StalledStreams(MemoryUse aUse,
                                        Duration aTimeout,
                                        TimePoint aNow);
  /** Closes a stream and calls its mEnded hook at the next Flush. */
  void End(StreamKey aStream) { mStreamsToEnd.push_back(aStream); }
  /** Sends queued output and reports ended streams; called once in each turn of the event
   * loop. */
  void Flush();
  /** @return bytes of queued output of all streams */
  [[nodiscard]] std::size_t QueuedBytes() const { return mQueuedBytes; }

  /** @return number of streams in the table */
  [[nodiscard]] std::size_t size() const { return mStreams.size(); }

private:
  struct Stream;

  StreamKey RegisterStream(Poco::Net::StreamSocket aSocket,
                           const StreamLiveness& aLiveness,
                           const StreamHooks& aHooks,
                           bool aIsConnecting);
  void OnReady(StreamKey aKey, std::uint32_t aEvents);
  /** Calls OnReady; an exception ends the stream and is passed on. */
  void OnReadyGuarded(StreamKey aKey, std::uint32_t aEvents);
  void OnAcceptable(std::size_t aListener);
  /** @return false when the peer has closed the stream or the connection has failed */
  bool Receive(StreamKey aKey, Stream& aStream);
  /** @return false when the stream is to be ended */
  bool SendQueued(StreamKey aKey, Stream& aStream);
  /** Calls the input hook; releases the buffer if little input is left. */
  void PassOnInput(StreamKey aKey, Stream& aStream);
  void UpdateEvents(const Stream& aStream);
  void UpdateAccount(StreamKey aKey, const Stream& aStream);
  /** Removes a stream and calls mEnded unless the hooks are disabled. */
  void EndStream(StreamKey aKey);

  struct Listener
  {
    Poco::Net::ServerSocket mSocket;
    StreamLiveness mLiveness;
    StreamHooks mHooks;
    AcceptHook mAccepted;
  };

  EventLoop& mLoop;
  std::size_t mLimit;
  MemoryAccount* mAccount = nullptr;
  /** Bytes of queued output at which a stream ends, by output use. */
  std::array<std::size_t, kMemoryUses> mOutputLimits;
  /** Bytes of queued output of all streams. */
  std::size_t mQueuedBytes = 0;
  std::vector<Listener> mListeners;
  std::unordered_map<StreamKey, std::unique_ptr<Stream>> mStreams;
  /** Streams whose output the next Flush sends. */
  std::vector<StreamKey> mStreamsToFlush;
  /** Streams that the next Flush ends. */
  std::vector<StreamKey> mStreamsToEnd;
  StreamKey mNextKey = 1;
};

} // namespace papayaspindle
