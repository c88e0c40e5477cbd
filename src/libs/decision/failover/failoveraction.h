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

/** Ask a home whether it reaches the old primary. */
struct AskConfirmation
{
  InstanceId mHome;
};

struct SendRaiseTerm
{
  MemberId mMember;
  std::uint64_t mTerm = 0;
  /** Name under which the term is raised; no other failover uses it. */
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

/** Route by this view and tell the other instances. */
struct AnnounceView
{
  GroupView mView;
};

/** Record the view in the table service, now or once it answers again. */
struct RecordView
{
  GroupView mView;
};

/** Start no other failover of the group before this time has passed. */
struct Backoff
{
  Duration mAfter{};
};

/** How a failover ended. */
enum class FailoverEnd : std::uint8_t
{
  /** A new primary is announced. */
  Promoted,
  /** The primary answered before anything was changed. */
  PrimaryAnswered,
  /** Nobody agreed, or no majority of members answers; nothing was changed. */
  NotConfirmed,
  /** A higher term is known elsewhere. */
  Conflict,
  /** No majority of members granted the term in time. */
  NoMajority,
};

/** @return the end in words */
std::string_view EndText(FailoverEnd aEnd);

/** The failover is over. */
struct Finish
{
  FailoverEnd mEnd = FailoverEnd::Promoted;
};

using FailoverAction = std::variant<AskConfirmation,
                                    SendRaiseTerm,
                                    SendPromote,
                                    SendFollow,
                                    SendStatus,
                                    AnnounceView,
                                    RecordView,
                                    Backoff,
                                    Finish>;
using FailoverActions = std::vector<FailoverAction>;

/** One line of the operator's report. */
struct FailoverStep
{
  /** Since the failover began. */
  Duration mAt{};
  std::string mEvent;
};

} // namespace papayaspindle
