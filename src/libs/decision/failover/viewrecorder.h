#pragma once

#include "core/groupview.h"
#include "core/timetypes.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <variant>

namespace papayaspindle {

/** Read the group's row from the table service. */
struct ReadRecord
{};

/** Write the view if the row still has version mVersion. */
struct WriteRecord
{
  GroupView mView;
  /** 0 means that the row must not exist. */
  std::uint64_t mVersion = 0;
};

using RecordAction = std::variant<ReadRecord, WriteRecord>;

/** The group's row in the table service; version 0 and term 0 when it does not exist. */
struct RecordedView
{
  GroupView mView;
  std::uint64_t mVersion = 0;
};

/** Backoff while the table service does not answer; doubles with each failure. */
struct RecordSettings
{
  std::chrono::milliseconds mBackoffMin{ 100 };
  std::chrono::milliseconds mBackoffMax{ 5000 };
};

/**
 * Records a group's view in the table service. The recorded term only rises.
 *
 * A lost answer needs no special handling: the row is read again after every failure, and
 * a row that already has the term counts as recorded.
 */
class ViewRecorder
{
public:
  explicit ViewRecorder(const RecordSettings& aSettings);

  /** Requests that the view be recorded. Ignored unless its term is the highest requested
   * so far. */
  void RequestRecord(const GroupView& aView);
  /** @return the action to carry out now, or nothing. The caller reports the result of
   * each action with one call of OnRow, OnCommitted or OnFailure. */
  std::optional<RecordAction> NextAction(TimePoint aNow);
  /** Handles the row from a read, or from a write that found another version. */
  void OnRow(const RecordedView& aRow, TimePoint aNow);
  void OnCommitted(TimePoint aNow);
  /** Handles an unanswered action; a write may still have taken effect. */
  void OnFailure(TimePoint aNow);

  /** @return whether the requested view, or one of a later term, is recorded */
  [[nodiscard]] bool IsRecorded() const;
  /** @return the row's view if its term is above that of the requested view */
  [[nodiscard]] std::optional<GroupView> NewerRecordedView() const;

private:
  RecordSettings mSettings;
  GroupView mRequestedView;
  std::optional<RecordedView> mRow;
  /** View of the last write that was sent. */
  std::optional<GroupView> mViewInFlight;
  bool mInFlight = false;
  Duration mBackoff;
  TimePoint mNextAttemptAt;
};

} // namespace papayaspindle
