#pragma once

#include "backend.pb.h"
#include "core/error.h"
#include "daemon/statements/datapath.h"
#include "interfaces/connections.h"

#include <memory>

namespace papayaspindle {

/** Which connection is wanted. */
struct SessionTarget
{
  MemberId mMember;
  /** Term in which the statements run. */
  std::uint64_t mTerm = 0;
  bool mIsPrimary = false;
  /** Whether the wait for a connection may use the places kept for writes. */
  bool mWrite = false;
};

/**
 * One connection to a member for the time of a request. It goes back to the pool as clean
 * only when each request on it got its whole answer and no transaction is open.
 */
class MemberSession
{
public:
  /** Waits for a connection. Errors as of Connections::Acquire. */
  static Result<std::unique_ptr<MemberSession>> Open(const DataPath& aPath,
                                                     HomeRequest& aRequest,
                                                     const SessionTarget& aTarget);
  /** Takes over a connection that Detach gave out. */
  static std::unique_ptr<MemberSession> Adopt(const DataPath& aPath,
                                              HomeRequest& aRequest,
                                              const SessionTarget& aTarget,
                                              ConnectionId aConnection);
  MemberSession(const MemberSession&) = delete;
  MemberSession& operator=(const MemberSession&) = delete;
  /** Releases the connection. */
  ~MemberSession();

  /** Runs one request in the target's term. Errors as of Connections::Run. */
  Result<v1::SessionAnswer> Run(v1::SessionRequest aMessage, TimePoint aDeadline);
  /** Releases the connection before the end of the object. */
  void Release();
  /** Lets the connection be closed, not pooled. */
  void Condemn() { mIsClean = false; }
  /** @return the connection, which the caller releases from now on */
  ConnectionId Detach();

private:
  MemberSession(const DataPath& aPath,
                HomeRequest& aRequest,
                SessionTarget aTarget,
                ConnectionId aConnection);
  void AddHop(Duration aTook);
  void NoteAnswer(const v1::SessionAnswer& aAnswer, TimePoint aSentAt);

  const DataPath& mPath;
  HomeRequest& mRequest;
  SessionTarget mTarget;
  ConnectionId mConnection = 0;
  bool mIsOpen = true;
  bool mIsClean = true;
};

} // namespace papayaspindle
