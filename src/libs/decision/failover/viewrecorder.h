#pragma once

#include "core/groupview.h"
#include "core/timetypes.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <variant>

namespace papayaspindle {

/** Read the group's row. */
struct ReadRecord
{};

/** Write the view if the row still has that version. */
struct WriteRecord
{
  GroupView mView;
  /** 0: the row must not exist. */
  std::uint64_t mVersion = 0;
};

using RecordAction = std::variant<ReadRecord, WriteRecord>;

/** A row as the table service showed it; version 0 and term 0 when there is none. */
struct RecordedView
{
  GroupView mView;
  std::uint64_t mVersion = 0;
};

/** Pauses between attempts while the table service does not answer. */
struct RecordSettings
{
  std::chrono::milliseconds mFirstPause{ 100 };
  std::chrono::milliseconds mLongestPause{ 5000 };
};

/**
 * Brings a view into the table service. The recorded term only rises.
 *
 * A lost answer needs no special case: after every failure the row is read again, and a
 * row that already has the term counts as recorded.
 */
class ViewRecorder
{
public:
  explicit ViewRecorder(const RecordSettings& aSettings);

  /** Asks for a view to be recorded; ignored unless its term is the highest so far. */
  void Want(const GroupView& aView);
  /** @return what to do now, or nothing; each action is followed by one On... call */
  std::optional<RecordAction> Next(TimePoint aNow);
  /** The row as read, or as it was when a write found another version. */
  void OnRow(const RecordedView& aRow, TimePoint aNow);
  void OnCommitted(TimePoint aNow);
  /** No answer, whether or not the write took effect. */
  void OnFailure(TimePoint aNow);

  /** @return whether the wanted view, or a later one, is recorded */
  [[nodiscard]] bool IsDone() const;
  /** @return the row's view when its term is above the wanted one */
  [[nodiscard]] std::optional<GroupView> Newer() const;

private:
  RecordSettings mSettings;
  GroupView mWanted;
  std::optional<RecordedView> mRow;
  /** The write under way. */
  std::optional<GroupView> mWriting;
  bool mInFlight = false;
  Duration mPause;
  TimePoint mNotBefore;
};

} // namespace papayaspindle
