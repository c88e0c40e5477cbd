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
  /** A statement of the transaction failed; only its end is accepted. */
  Failed,
};

/** The whole answer of a member to one command. */
struct MemberReply
{
  std::vector<std::string> mRows;
  /** Error code, or nothing when the command succeeded. */
  std::optional<AnswerCode> mError;
  /** The member's signature of a success, or the text of an error. */
  std::string mText;
  TransactionState mState = TransactionState::Idle;
  /** Position of the member's log after the command. */
  std::optional<LogPosition> mPosition;
  /** Of status commands only. */
  std::optional<MemberStatus> mStatus;
};

/** The whole answer to one statement of a client; the same parts as a member's. */
using ClientAnswer = MemberReply;

/** Signature of a success that no member has signed. */
inline constexpr const char* kUnsigned = "-";

} // namespace papayaspindle::proxy
