#pragma once

#include "core/ids.h"
#include "core/timetypes.h"

#include <cstdint>
#include <map>
#include <optional>

namespace papayaspindle {

/** Why a connection is closed instead of being used again. */
enum class Condemnation : std::uint8_t
{
  /** No whole answer by the deadline. */
  Silent,
  /** The answer belongs to another request. */
  SequenceMismatch,
  /** It ended within an answer, or before one. */
  Truncated,
  Oversized,
  /** Nothing could be sent. */
  Lost,
  /** It came back with an open transaction or a missing answer. */
  Unclean,
};

/** What may be done with a connection next. */
enum class ConnectionUse : std::uint8_t
{
  Use,
  /** Send a PING statement first; use it only when that is answered. */
  ProbeFirst,
  Close,
};

/**
 * The health of a group's connections.
 *
 * Open connections can go silent together while new ones work. When one is found silent,
 * the member's others that were open at that time and have not answered since are in
 * doubt.
 */
class ConnectionHealth
{
public:
  /** Key of a connection; the same as in the connection table. */
  using Key = std::uint64_t;

  void OnOpened(Key aConnection, const MemberId& aMember, TimePoint aNow);
  void OnClosed(Key aConnection);
  /** A whole answer that matches its request has arrived. */
  void OnAnswer(Key aConnection, TimePoint aNow);
  /**
   * Condemns the connection; silence puts its siblings in doubt.
   *
   * @param aSentAt when the request was sent that got no proper answer
   */
  void Condemn(Key aConnection, Condemnation aReason, TimePoint aSentAt);

  /** @return what may be done with the connection; Close for an unknown one */
  [[nodiscard]] ConnectionUse NextUse(Key aConnection) const;
  /** @return why the connection is condemned, or nothing */
  [[nodiscard]] std::optional<Condemnation> ReasonOf(Key aConnection) const;

private:
  struct Entry
  {
    MemberId mMember;
    TimePoint mOpenedAt;
    TimePoint mAnsweredAt;
    bool mInDoubt = false;
    std::optional<Condemnation> mReason;
  };

  std::map<Key, Entry> mEntries;
};

} // namespace papayaspindle
