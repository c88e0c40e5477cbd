#pragma once

#include "core/groupview.h"
#include "daemon/statements/datapath.h"
#include "daemon/statements/replicationwatch.h"

#include <cstdint>
#include <optional>

namespace papayaspindle {

class MemberSession;

/** @return whether a request id is kept for this system's own entries */
bool IsReservedRequestId(std::string_view aRequestId);

/**
 * Waits for a view that names a primary.
 *
 * @param aLeastTerm lowest term that helps
 * @return the view, or nothing at the deadline
 */
std::optional<GroupView> AwaitPrimary(const DataPath& aPath,
                                      const GroupId& aGroup,
                                      std::uint64_t aLeastTerm,
                                      TimePoint aDeadline);

/** Pauses before another attempt; ends early when a later view than aSeen names a
 * primary. */
void AwaitLaterView(const DataPath& aPath, const GroupView& aSeen, TimePoint aUntil);

/**
 * Makes sure that the primary's term has an entry when the answered position is older.
 *
 * An entry of an older term is certain only once a majority holds an entry of the current
 * term after it (see AckTracker::Target). When nobody writes in the new term, no such
 * entry would come. The marker's request id is the same for each home, so a term gets one
 * marker.
 *
 * @param aSession connection to the primary without an open transaction
 */
void EnsureTermEntry(const DataPath& aPath,
                     const HomeRequest& aRequest,
                     MemberSession& aSession,
                     const GroupView& aView,
                     const LogPosition& aAnswered);

/** Waits, within a span, until the answered position of a write is acknowledged. */
ReplicationOutcome AwaitAcknowledgement(const DataPath& aPath,
                                        const HomeRequest& aRequest,
                                        const GroupView& aView,
                                        const LogPosition& aAnswered);

/** Waits, within a span, until what a read of the primary saw is confirmed. */
ReplicationOutcome AwaitConfirmation(const DataPath& aPath,
                                     const HomeRequest& aRequest,
                                     const GroupView& aView,
                                     const LogPosition& aAnswered);

} // namespace papayaspindle
