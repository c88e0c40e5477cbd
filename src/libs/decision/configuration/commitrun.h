#pragma once

#include "core/error.h"
#include "decision/configuration/configurationchange.h"

#include <cstdint>
#include <optional>
#include <variant>

namespace papayaspindle {

/**
 * Read the rows, in this order: head, group, request.
 *
 * The request row comes last: when it is absent after the head was seen to have moved, a
 * transaction against the old head can no longer take effect.
 */
struct ReadCommitRows
{};

/** Make the change if head, group and request rows are as they were read. */
struct TransactChange
{
  std::uint64_t mHeadVersion = 0;
  std::uint64_t mGroupVersion = 0;
  ConfigurationChange mChange;
};

/** The run is over. */
struct CommitFinished
{
  /** Nothing when the change is accepted. */
  std::optional<Error> mError;
  /** The accepted change; of an earlier call when the request was a repeat. */
  ConfigurationChange mChange;
  /** After a revision conflict: the group's revision now. */
  std::uint64_t mCurrentRevision = 0;
};

using CommitAction = std::variant<ReadCommitRows, TransactChange, CommitFinished>;

/** The rows of the table service that a commit depends on. */
struct CommitRows
{
  std::uint64_t mHeadRevision = 0;
  std::uint64_t mHeadVersion = 0;
  /** Revision 0 when the group does not exist. */
  std::uint64_t mGroupRevision = 0;
  std::uint64_t mGroupVersion = 0;
  /** The change that this request id made. */
  std::optional<ConfigurationChange> mRequestRow;
};

/**
 * Commits one change to the table service by compare-and-set.
 *
 * Each event returns the next action, until CommitFinished. Refused means that the change
 * is not in the log and never will be.
 */
class CommitRun
{
public:
  /** @param aAcceptedUnixMs wall clock, for metrics only */
  CommitRun(ChangeRequest aRequest, std::uint64_t aAcceptedUnixMs);

  CommitAction Start();
  CommitAction HandleRows(const CommitRows& aRows);
  /** A read failed; it changed nothing. */
  CommitAction HandleReadFailure();
  CommitAction HandleCommitted();
  /** A condition did not hold; nothing was changed. */
  CommitAction HandleConflict();
  /** @param aMayHaveRun whether the transaction may take effect, now or later */
  CommitAction HandleTransactFailure(bool aMayHaveRun);
  /** The call's time is over. */
  CommitAction HandleDeadline();

private:
  CommitAction Fail(ErrorKind aKind, const std::string& aMessage) const;
  CommitAction FailUnavailable() const;
  CommitAction FinishFromRequestRow(const ConfigurationChange& aFirst) const;

  ChangeRequest mRequest;
  std::uint64_t mAcceptedUnixMs;
  TransactChange mLast;
  /** Version of the head that a transaction without an answer depends on. */
  std::optional<std::uint64_t> mUnresolvedHead;
  int mAttempts = 0;
};

} // namespace papayaspindle
