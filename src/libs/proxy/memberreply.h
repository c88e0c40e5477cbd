#pragma once

#include "core/logposition.h"
#include "proxy/answercode.h"
#include "proxy/memberstatus.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace papayaspindle::proxy {

/** Transaction state of a session or of a member connection. */
enum class TransactionState : std::uint8_t
{
  Idle,
  Open,
  /** A statement of the transaction has failed; only COMMIT and ROLLBACK are accepted. */
  Failed,
};

/** Complete reply of a member to one command. */
struct MemberReply
{
  std::vector<std::string> mRows;
  /** Error code; empty when the command succeeded. */
  std::optional<AnswerCode> mError;
  /** The member's signature of a success, or the text of an error. */
  std::string mText;
  TransactionState mState = TransactionState::Idle;
  /** Position of the member's log after the command. */
  std::optional<LogPosition> mPosition;
  /** Set in replies to status commands only. */
  std::optional<MemberStatus> mStatus;
};

/** Complete answer to one statement of a client; has the same fields as a member's reply.
 */
using ClientAnswer = MemberReply;

/** Placeholder signature of a success that no member has signed. */
inline constexpr const char* kUnsigned = "-";

} // namespace papayaspindle::proxy
