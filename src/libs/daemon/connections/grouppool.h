#pragma once

#include "core/groupsettings.h"
#include "core/timetypes.h"
#include "daemon/connections/groupallowance.h"
#include "daemon/connections/poolwork.h"
#include "decision/admission/admissionqueue.h"
#include "decision/admission/connectionhealth.h"
#include "decision/admission/poolplanner.h"
#include "interfaces/connections.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace papayaspindle {

/**
 * The bookkeeping of one group's connections at this instance. Not thread-safe, without
 * input or output: after each change Advance says what is to be done.
 */
class GroupPool
{
public:
  /** Takes the group's members and slots; what was removed or is leaving is closed. */
  void Configure(const GroupSettings& aSettings);
  void SetAllowance(const GroupAllowance& aAllowance);

  /**
   * Lets a request wait; Advance delivers its connection.
   *
   * @return the ticket. Errors: Overloaded, DeadlineBeforeStart, ConnectionLimit,
   * MemberUnreachable.
   */
  Result<PoolTicket> Enter(const AcquireRequest& aRequest, TimePoint aNow);

  /** An opening has succeeded. */
  void OnOpened(ConnectionId aConnection,
                const MemberId& aMember,
                const std::string& aAddress,
                TimePoint aNow);
  /** An opening has failed, or was not tried. */
  void OnOpenFailed(const MemberId& aMember, TimePoint aNow);
  /** A whole, matching answer has arrived. */
  void OnAnswer(ConnectionId aConnection, TimePoint aNow);
  void Condemn(ConnectionId aConnection, InvalidationReason aReason, TimePoint aSentAt);
  /** The owner has given the connection back. @return whether it had an owner */
  bool OnReleased(ConnectionId aConnection, ConnectionState aState, TimePoint aNow);
  /** The probe of a connection has ended; a failed one has condemned it before. */
  void OnProbed(ConnectionId aConnection);
  /** The connection is closed. */
  void OnClosed(ConnectionId aConnection);

  /** Brings the pool up to date. @return what is to be done now */
  PoolWork Advance(TimePoint aNow);

  /** @return whether an owner holds the connection and may send on it */
  [[nodiscard]] bool IsUsable(ConnectionId aConnection) const;
  /** @return open connections, also those being opened, probed or closed */
  [[nodiscard]] std::uint32_t Held() const;
  /** @return connections that have an owner */
  [[nodiscard]] std::uint32_t Owned() const;
  [[nodiscard]] const GroupAllowance& Allowance() const { return mAllowance; }
  /** @return requests that wait */
  [[nodiscard]] std::size_t Waiting() const;
  /** @return the highest demand since the last call, in connections */
  std::uint32_t TakeDemand();

private:
  enum class Phase : std::uint8_t
  {
    Idle,
    Owned,
    Probing,
    Closing,
  };
  struct Connection
  {
    MemberId mMember;
    std::string mAddress;
    Phase mPhase = Phase::Idle;
    TimePoint mOwnedSince;
  };
  struct Member
  {
    std::string mAddress;
    /** In the configuration, and not leaving. */
    bool mWanted = false;
    std::uint32_t mOpening = 0;
    std::optional<TimePoint> mOpenFailedAt;
    AdmissionQueue mQueue{ AdmissionSettings() };
  };

  [[nodiscard]] std::uint32_t Count(const MemberId& aMember, Phase aPhase) const;
  /** @return connections to the member, also those being opened or probed */
  [[nodiscard]] std::uint32_t HeldOf(const MemberId& aMember) const;
  [[nodiscard]] bool HasFailed(const Member& aMember, TimePoint aNow) const;
  [[nodiscard]] bool IsMisplaced(const Connection& aConnection) const;
  [[nodiscard]] PoolState State(TimePoint aNow) const;
  void Expire(TimePoint aNow, PoolWork& aWork);
  void CheckIdle(PoolWork& aWork);
  void Plan(TimePoint aNow, PoolWork& aWork);
  void CloseIdle(const MemberId& aMember, std::uint32_t aCount, PoolWork& aWork);
  void Dispatch(TimePoint aNow, PoolWork& aWork);
  void RefuseUnservable(TimePoint aNow, PoolWork& aWork);

  std::uint32_t mSlots = 0;
  std::uint64_t mRevision = 0;
  GroupAllowance mAllowance;
  std::uint32_t mPeakDemand = 0;
  std::map<MemberId, Member> mMembers;
  std::map<ConnectionId, Connection> mConnections;
  ConnectionHealth mHealth;
};

} // namespace papayaspindle
