#pragma once

#include "core/timetypes.h"
#include "proxy/answercode.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace papayaspindle::proxy {

/** Whether a statement outside a transaction may change data. */
enum class StatementEffect : std::uint8_t
{
  Reads,
  Writes,
};

/** Handling of a member's error for a statement outside a transaction. */
enum class RetryDecision : std::uint8_t
{
  /** Retry at another member, or later at the same one: the statement has not run or may
   * safely be repeated. */
  RetryElsewhere,
  /** Return the error code to the client. */
  ReturnToClient,
};

/** Handling of one error code. */
struct AnswerPolicy
{
  AnswerCode mCode;
  /** Name in log events and metrics. */
  std::string_view mName;
  /** Whether a member that returns the code guarantees that the statement has not run. */
  bool mGuaranteesNotRun;
  RetryDecision mReadDecision;
  RetryDecision mWriteDecision;
  /** Delay before a retry. */
  Duration mPause;
};

/** @return one policy for each code, in the order of AnswerCode */
std::span<const AnswerPolicy> AnswerPolicies();

/** @return name of the code in log events and metrics */
std::string_view AnswerName(AnswerCode aCode);
/** @return whether a member that returns the code guarantees that the statement has not
 * run */
bool GuaranteesNotRun(AnswerCode aCode);
/** @return how to handle the code for a statement outside a transaction */
RetryDecision RetryDecisionFor(AnswerCode aCode, StatementEffect aEffect);
/** @return delay before a statement that received the code is tried again */
Duration RetryPause(AnswerCode aCode);

} // namespace papayaspindle::proxy
