#pragma once

#include "core/timetypes.h"

#include <cstdint>

namespace papayaspindle {

/** How a statement ended at a member. */
enum class StatementOutcome : std::uint8_t
{
  Succeeded,
  /** The member failed to run the statement. */
  Failed,
  /** The end says nothing about the member: the statement was refused because of its
   * content, or because of the member's role or position. */
  NoInformation,
};

/** A statement that has ended at a member. */
struct StatementSample
{
  TimePoint mStartedAt;
  TimePoint mEndedAt;
  /** Usual time of this kind of statement at the members of all groups; zero if it is not
   * known yet. */
  Duration mUsualTime{};
  StatementOutcome mOutcome = StatementOutcome::Succeeded;
  /** Number of statements that the member runs concurrently by its configuration. */
  std::uint32_t mSlots = 1;
};

} // namespace papayaspindle
