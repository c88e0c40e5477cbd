#pragma once

#include "core/error.h"
#include "core/ids.h"
#include "decision/admission/admissionqueue.h"
#include "interfaces/connections.h"

#include <compare>
#include <string>
#include <vector>

namespace papayaspindle {

/** Key of a request that waits in a group's pool. */
struct PoolTicket
{
  MemberId mMember;
  TicketId mTicket = 0;

  auto operator<=>(const PoolTicket&) const = default;
};

/** The end of a request's wait. */
struct PoolDelivery
{
  PoolTicket mTicket;
  Result<ConnectionId> mOutcome;
};

/** A connection to open. */
struct PoolOpening
{
  MemberId mMember;
  std::string mAddress;
};

/** What a pool wants done after a change; nothing of it is done under its lock. */
struct PoolWork
{
  std::vector<PoolDelivery> mDeliveries;
  std::vector<PoolOpening> mOpenings;
  std::vector<ConnectionId> mCloses;
  /** Connections to send a PING statement on. */
  std::vector<ConnectionId> mProbes;
};

} // namespace papayaspindle
