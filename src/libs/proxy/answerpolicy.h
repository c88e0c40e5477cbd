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

/** What follows a member's error for a statement outside a transaction. */
enum class AnswerStep : std::uint8_t
{
  /** It has not run, or may run again: another member, or the same one later. */
  RetryElsewhere,
  /** The client gets the code. */
  PassOn,
};

/** One row of the table from a member's code to what follows. */
struct AnswerRow
{
  AnswerCode mCode;
  /** Name in log lines and metrics. */
  std::string_view mName;
  /** The member promises that the statement has not run. */
  bool mNotRun;
  AnswerStep mAfterRead;
  AnswerStep mAfterWrite;
  /** Time before the statement is tried again. */
  Duration mPause;
};

/** @return the table, one row for each code, in the order of AnswerCode */
std::span<const AnswerRow> AnswerTable();

/** @return name of the code in log lines and metrics */
std::string_view AnswerName(AnswerCode aCode);
/** @return whether a member that answers the code has not run the statement */
bool HasNotRun(AnswerCode aCode);
/** @return what follows the code for a statement outside a transaction */
AnswerStep StepAfter(AnswerCode aCode, StatementEffect aEffect);
/** @return time before a statement that got the code is tried again */
Duration RetryPause(AnswerCode aCode);

} // namespace papayaspindle::proxy
