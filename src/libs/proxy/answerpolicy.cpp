#include "proxy/answerpolicy.h"

#include "proxy/proxytimes.h"

#include <array>

namespace papayaspindle::proxy {

namespace {

constexpr auto kRetry = AnswerStep::RetryElsewhere;
constexpr auto kPass = AnswerStep::PassOn;
// Others can run it at once.
constexpr Duration kNoPause{};

constexpr std::array kTable{
  AnswerRow{ AnswerCode::Busy, "busy", true, kRetry, kRetry, kRetryPause },
  AnswerRow{ AnswerCode::Aborted, "aborted", true, kRetry, kPass, kNoPause },
  AnswerRow{ AnswerCode::Lagging, "lagging", true, kRetry, kRetry, kNoPause },
  AnswerRow{ AnswerCode::ReadOnly, "read_only", true, kRetry, kRetry, kRetryPause },
  AnswerRow{ AnswerCode::Misrouted, "misrouted", true, kRetry, kRetry, kNoPause },
  AnswerRow{ AnswerCode::TooMany, "too_many", true, kRetry, kRetry, kNoPause },
  AnswerRow{ AnswerCode::Failed, "failed", false, kRetry, kPass, kNoPause },
  AnswerRow{ AnswerCode::UnknownPrepared,
             "unknown_prepared",
             true,
             kRetry,
             kRetry,
             kNoPause },
  AnswerRow{ AnswerCode::Timeout, "timeout", false, kRetry, kPass, kNoPause },
  AnswerRow{ AnswerCode::NotAuthorized, "not_authorized", true, kPass, kPass, kNoPause },
  AnswerRow{ AnswerCode::UnknownDatabase,
             "unknown_database",
             true,
             kPass,
             kPass,
             kNoPause },
  AnswerRow{ AnswerCode::TooLarge, "too_large", true, kPass, kPass, kNoPause },
  AnswerRow{ AnswerCode::BadMessage, "bad_message", true, kPass, kPass, kNoPause },
  AnswerRow{ AnswerCode::Unknown, "unknown", false, kPass, kPass, kNoPause },
};

const AnswerRow&
RowOf(AnswerCode aCode)
{
  return kTable[static_cast<std::size_t>(aCode)];
}

} // namespace

std::span<const AnswerRow>
AnswerTable()
{
  return kTable;
}

std::string_view
AnswerName(AnswerCode aCode)
{
  return RowOf(aCode).mName;
}

bool
HasNotRun(AnswerCode aCode)
{
  return RowOf(aCode).mNotRun;
}

AnswerStep
StepAfter(AnswerCode aCode, StatementEffect aEffect)
{
  const AnswerRow& row = RowOf(aCode);
  return aEffect == StatementEffect::Reads ? row.mAfterRead : row.mAfterWrite;
}

Duration
RetryPause(AnswerCode aCode)
{
  return RowOf(aCode).mPause;
}

} // namespace papayaspindle::proxy
