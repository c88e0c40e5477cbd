#pragma once

#include "core/groupview.h"
#include "core/ids.h"
#include "core/timetypes.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace papayaspindle {

/** Request from another home a report on whether it reaches the old primary. */
struct RequestConfirmation
{
  InstanceId mHome;
};

struct SendRaiseTerm
{
  MemberId mMember;
  std::uint64_t mTerm = 0;
  /** Name under which the term is raised; unique to one failover run. */
  std::string mKeeper;
};

struct SendPromote
{
  MemberId mMember;
  std::uint64_t mTerm = 0;
  std::string mKeeper;
};

struct SendFollow
{
  MemberId mMember;
  std::uint64_t mTerm = 0;
  MemberId mPrimary;
};

struct SendStatus
{
  MemberId mMember;
};

/** Route by this view and announce it to the other instances. */
struct AnnounceView
{
  GroupView mView;
};

/** Record the view in the table service, with retries until the service answers. */
struct RecordView
{
  GroupView mView;
};

/** Delay before this instance may start another failover of the group. */
struct Backoff
{
  Duration mDelay{};
};

/** Outcome of a failover. */
enum class FailoverOutcome : std::uint8_t
{
  /** A new primary was promoted and announced. */
  Promoted,
  /** The old primary answered before any member was changed. */
  PrimaryAnswered,
  /** No home or replica confirmed the suspicion, or no majority of members answered. No
   * member was changed. */
  NotConfirmed,
  /** A higher term or another primary was seen, or members refused a request. */
  Conflict,
  /** No majority of members granted the term in time. */
  NoMajority,
};

/** @return the text that the operator's report shows for the outcome */
std::string_view OutcomeText(FailoverOutcome aOutcome);

/** The failover is over. */
struct FinishFailover
{
  FailoverOutcome mOutcome = FailoverOutcome::Promoted;
};

using FailoverAction = std::variant<RequestConfirmation,
                                    SendRaiseTerm,
                                    SendPromote,
                                    SendFollow,
                                    SendStatus,
                                    AnnounceView,
                                    RecordView,
                                    Backoff,
                                    FinishFailover>;
using FailoverActions = std::vector<FailoverAction>;

/** One line of the operator's failover report. */
struct FailoverStep
{
  /** Time since the failover began. */
  Duration mAt{};
  std::string mEvent;
};

} // namespace papayaspindle
