#pragma once

#include "core/ids.h"
#include "core/timetypes.h"

#include <cstdint>
#include <map>
#include <optional>

namespace papayaspindle {

/** Reason why a connection must be closed instead of being used again. */
enum class InvalidationReason : std::uint8_t
{
  /** No complete answer arrived by the deadline. */
  Unresponsive,
  /** The answer has the sequence number of another request. */
  SequenceMismatch,
  /** The connection ended before the answer was complete. */
  Truncated,
  /** The answer exceeded the size limit. */
  Oversized,
  /** The request could not be sent. */
  Lost,
  /** The connection was released with an open transaction or an outstanding answer. */
  Unclean,
};

/** How a connection may be used next. */
enum class ConnectionUse : std::uint8_t
{
  Use,
  /** Send a PING statement first; use the connection only when the PING is answered. */
  ProbeFirst,
  Close,
};

/**
 * Tracks which of a group's connections may be used.
 *
 * All open connections to a member can become unresponsive together while new ones work.
 * When one is found unresponsive, the member's other connections that were already open
 * and have not answered since must be probed before they are used.
 */
class ConnectionHealth
{
public:
  /** Id of a connection in the connection table. */
  using Key = std::uint64_t;

  void OnOpened(Key aConnection, const MemberId& aMember, TimePoint aNow);
  void OnClosed(Key aConnection);
  /** To be called when a complete answer that matches its request has arrived. */
  void OnAnswer(Key aConnection, TimePoint aNow);
  /**
   * Marks the connection as unusable. If the member did not answer in time, the member's
   * other connections that were open at aSentAt and have not answered since must be
   * probed before use.
   *
   * @param aReason only the first reason of a connection is stored
   * @param aSentAt when the request was sent that got no valid answer
   */
  void Invalidate(Key aConnection, InvalidationReason aReason, TimePoint aSentAt);

  /** @return how the connection may be used next; Close for an unknown connection */
  [[nodiscard]] ConnectionUse NextUse(Key aConnection) const;
  /** @return why the connection is unusable, or nothing when it may be used */
  [[nodiscard]] std::optional<InvalidationReason> InvalidationReasonOf(
    Key aConnection) const;

private:
  struct Entry
  {
    MemberId mMember;
    TimePoint mOpenedAt;
    TimePoint mAnsweredAt;
    bool mNeedsProbe = false;
    std::optional<InvalidationReason> mInvalidationReason;
  };

  std::map<Key, Entry> mEntries;
};

} // namespace papayaspindle
