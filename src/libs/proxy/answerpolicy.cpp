#include "proxy/answerpolicy.h"

#include "proxy/proxytimes.h"

#include <array>

namespace papayaspindle::proxy {

namespace {

constexpr auto kRetry = RetryDecision::RetryElsewhere;
constexpr auto kReturn = RetryDecision::ReturnToClient;
// Another member can run the statement immediately.
constexpr Duration kNoPause{};

constexpr std::array kTable{
  AnswerPolicy{ AnswerCode::Busy, "busy", true, kRetry, kRetry, kRetryPause },
  AnswerPolicy{ AnswerCode::Aborted, "aborted", true, kRetry, kReturn, kNoPause },
  AnswerPolicy{ AnswerCode::Lagging, "lagging", true, kRetry, kRetry, kNoPause },
  AnswerPolicy{ AnswerCode::ReadOnly, "read_only", true, kRetry, kRetry, kRetryPause },
  AnswerPolicy{ AnswerCode::Misrouted, "misrouted", true, kRetry, kRetry, kNoPause },
  AnswerPolicy{ AnswerCode::TooMany, "too_many", true, kRetry, kRetry, kNoPause },
  AnswerPolicy{ AnswerCode::Failed, "failed", false, kRetry, kReturn, kNoPause },
  AnswerPolicy{ AnswerCode::UnknownPrepared,
                "unknown_prepared",
                true,
                kRetry,
                kRetry,
                kNoPause },
  AnswerPolicy{ AnswerCode::Timeout, "timeout", false, kRetry, kReturn, kNoPause },
  AnswerPolicy{ AnswerCode::NotAuthorized,
                "not_authorized",
                true,
                kReturn,
                kReturn,
                kNoPause },
  AnswerPolicy{ AnswerCode::UnknownDatabase,
                "unknown_database",
                true,
                kReturn,
                kReturn,
                kNoPause },
  AnswerPolicy{ AnswerCode::TooLarge, "too_large", true, kReturn, kReturn, kNoPause },
  AnswerPolicy{ AnswerCode::BadMessage, "bad_message", true, kReturn, kReturn, kNoPause },
  AnswerPolicy{ AnswerCode::Unknown, "unknown", false, kReturn, kReturn, kNoPause },
};

const AnswerPolicy&
PolicyOf(AnswerCode aCode)
{
  return kTable[static_cast<std::size_t>(aCode)];
}

} // namespace

std::span<const AnswerPolicy>
AnswerPolicies()
{
  return kTable;
}

std::string_view
AnswerName(AnswerCode aCode)
{
  return PolicyOf(aCode).mName;
}

bool
GuaranteesNotRun(AnswerCode aCode)
{
  return PolicyOf(aCode).mGuaranteesNotRun;
}

RetryDecision
RetryDecisionFor(AnswerCode aCode, StatementEffect aEffect)
{
  const AnswerPolicy& row = PolicyOf(aCode);
  return aEffect == StatementEffect::Reads ? row.mReadDecision : row.mWriteDecision;
}

Duration
RetryPause(AnswerCode aCode)
{
  return PolicyOf(aCode).mPause;
}

} // namespace papayaspindle::proxy
