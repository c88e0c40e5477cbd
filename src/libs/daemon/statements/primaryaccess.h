#pragma once

#include "core/groupview.h"
#include "daemon/statements/datapath.h"
#include "daemon/statements/replicationwatch.h"

#include <cstdint>
#include <optional>

namespace papayaspindle {

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
 * Waits, within a span, until the answered position of a write is acknowledged.
 *
 * A position of an older term, of a repeated write, is certain only once a majority holds
 * an entry of the current term, which comes after it in the same log
 * (AckTracker::Target). There always is one, because a member appends an entry when it is
 * promoted.
 */
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
