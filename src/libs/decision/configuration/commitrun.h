#pragma once

#include "core/error.h"
#include "decision/configuration/configurationchange.h"

#include <cstdint>
#include <optional>
#include <variant>

namespace papayaspindle {

/**
 * Read the rows in this order: head, group, request.
 *
 * The request row must be read last. If the head row has changed and the request row is
 * absent afterwards, a transaction that depends on the old head can no longer commit.
 */
struct ReadCommitRows
{};

/** Commit the change on condition that head, group and request rows are unchanged. */
struct TransactChange
{
  std::uint64_t mHeadVersion = 0;
  std::uint64_t mGroupVersion = 0;
  ConfigurationChange mChange;
};

/** The commit has finished. */
struct CommitFinished
{
  /** Why the change failed; nothing when it was accepted. */
  std::optional<Error> mError;
  /** The accepted change. For a repeated request, this is the change of the first call.
   */
  ConfigurationChange mChange;
  /** The group's current revision; set after a revision conflict. */
  std::uint64_t mCurrentRevision = 0;
};

using CommitAction = std::variant<ReadCommitRows, TransactChange, CommitFinished>;

/** The rows of the table service that a commit depends on. */
struct CommitRows
{
  std::uint64_t mHeadRevision = 0;
  std::uint64_t mHeadVersion = 0;
  /** Revision of the group; 0 when the group does not exist. */
  std::uint64_t mGroupRevision = 0;
  std::uint64_t mGroupVersion = 0;
  /** The change that was committed with this request id, if any. */
  std::optional<ConfigurationChange> mRequestRow;
};

/**
 * Commits one change to the table service by compare-and-set.
 *
 * State machine without I/O: the caller performs the returned action and reports its
 * result with one of the Handle functions, until the action is CommitFinished. Except for
 * OutcomeUnknown, an error means that this call has not changed the configuration and
 * never will.
 */
class CommitRun
{
public:
  /** @param aAcceptedUnixMs current wall clock time in ms, for metrics only */
  CommitRun(ChangeRequest aRequest, std::uint64_t aAcceptedUnixMs);

  CommitAction Start();
  CommitAction HandleRows(const CommitRows& aRows);
  /** Handles a failed read of the rows. */
  CommitAction HandleReadFailure();
  CommitAction HandleCommitted();
  /** Handles a transaction that changed nothing because a condition did not hold. */
  CommitAction HandleConflict();
  /** @param aMayHaveRun whether the transaction may have committed or may still commit */
  CommitAction HandleTransactFailure(bool aMayHaveRun);
  /** Ends the commit because the deadline of the call has passed. */
  CommitAction HandleDeadline();

private:
  CommitAction Fail(ErrorKind aKind, const std::string& aMessage) const;
  CommitAction FailUnavailable() const;
  CommitAction FinishFromRequestRow(const ConfigurationChange& aFirst) const;

  ChangeRequest mRequest;
  std::uint64_t mAcceptedUnixMs;
  TransactChange mLastTransact;
  /** Head version on which a transaction depends whose outcome is unknown. */
  std::optional<std::uint64_t> mUnresolvedHead;
  int mAttempts = 0;
};

} // namespace papayaspindle
