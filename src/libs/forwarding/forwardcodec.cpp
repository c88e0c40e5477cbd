#include "forwarding/forwardcodec.h"

#include "forward.pb.h"
#include "forwarding/microseconds.h"

namespace papayaspindle {

namespace {

using proxy::AnswerCode;
using proxy::Consistency;
using proxy::OperationPurpose;
using proxy::PreparedKind;
using proxy::StatementKind;
using proxy::TransactionState;

// Limit for the durations of a forwarded statement.
constexpr std::chrono::microseconds kMaxDuration = std::chrono::hours(24);

LogPosition
FromMessage(const v1::ForwardedPosition& aMessage)
{
  return { aMessage.term(), aMessage.index() };
}

void
ToMessage(const LogPosition& aPosition, v1::ForwardedPosition& aMessage)
{
  aMessage.set_term(aPosition.mTerm);
  aMessage.set_index(aPosition.mIndex);
}

} // namespace

std::string
EncodeForwardedStatement(const proxy::ForwardedStatement& aStatement)
{
  v1::ForwardedStatement message;
  message.set_session(aStatement.mSession);
  const proxy::Route& route = aStatement.mRoute;
  message.set_database(route.mDatabase);
  message.set_group(route.mGroup);
  message.set_consistency(static_cast<std::uint32_t>(route.mConsistency));
  message.set_statement_timeout_us(ToMicroseconds(route.mStatementTimeout));
  message.set_latency_objective_us(ToMicroseconds(route.mLatencyObjective));
  message.set_max_staleness_us(ToMicroseconds(route.mMaxStaleness));
  message.set_priority(static_cast<std::uint32_t>(route.mPriority));
  const proxy::Statement& statement = aStatement.mStatement;
  message.set_statement_id(statement.mId);
  message.set_statement_kind(static_cast<std::uint32_t>(statement.mKind));
  message.set_name(statement.mName);
  message.set_arguments(statement.mArguments);
  message.set_prepared_kind(static_cast<std::uint32_t>(aStatement.mPrepared.mKind));
  message.set_prepared_shape(aStatement.mPrepared.mShape);
  message.set_purpose(static_cast<std::uint32_t>(aStatement.mPurpose));
  message.set_may_write(aStatement.mMayWrite);
  message.set_writes(aStatement.mWrites);
  for (const auto& [name, value] : aStatement.mValues) {
    v1::SessionValue& entry = *message.add_values();
    entry.set_name(name);
    entry.set_value(value);
  }
  if (aStatement.mLastCommit) {
    ToMessage(*aStatement.mLastCommit, *message.mutable_last_commit());
  }
  message.set_waited_us(ToMicroseconds(aStatement.mWaited));
  message.set_customer(aStatement.mCustomer);
  if (aStatement.mKey) {
    message.set_key_digest(ToBytes(*aStatement.mKey));
  }
  message.set_key_version(aStatement.mKeyVersion);
  message.set_is_public(route.mIsPublic);
  return message.SerializeAsString();
}

std::optional<proxy::ForwardedStatement>
DecodeForwardedStatement(const std::string& aBytes)
{
  v1::ForwardedStatement message;
  if (!message.ParseFromString(aBytes) ||
      message.consistency() > static_cast<std::uint32_t>(Consistency::ReadYourWrites) ||
      message.statement_kind() > static_cast<std::uint32_t>(StatementKind::Malformed) ||
      message.prepared_kind() > static_cast<std::uint32_t>(PreparedKind::Write) ||
      message.purpose() > static_cast<std::uint32_t>(OperationPurpose::TransactionNext)) {
    return std::nullopt;
  }
  proxy::ForwardedStatement statement;
  statement.mSession = message.session();
  proxy::Route& route = statement.mRoute;
  route.mDatabase = message.database();
  route.mGroup = message.group();
  route.mConsistency = static_cast<Consistency>(message.consistency());
  route.mStatementTimeout =
    FromMicroseconds(message.statement_timeout_us(), kMaxDuration);
  route.mLatencyObjective =
    FromMicroseconds(message.latency_objective_us(), kMaxDuration);
  route.mMaxStaleness = FromMicroseconds(message.max_staleness_us(), kMaxDuration);
  route.mPriority = static_cast<int>(message.priority());
  statement.mStatement.mId = message.statement_id();
  statement.mStatement.mKind = static_cast<StatementKind>(message.statement_kind());
  statement.mStatement.mName = message.name();
  statement.mStatement.mArguments = message.arguments();
  statement.mPrepared = { static_cast<PreparedKind>(message.prepared_kind()),
                          message.prepared_shape() };
  statement.mPurpose = static_cast<OperationPurpose>(message.purpose());
  statement.mMayWrite = message.may_write();
  statement.mWrites = message.writes();
  for (const v1::SessionValue& entry : message.values()) {
    statement.mValues.emplace(entry.name(), entry.value());
  }
  if (message.has_last_commit()) {
    statement.mLastCommit = FromMessage(message.last_commit());
  }
  statement.mWaited = FromMicroseconds(message.waited_us(), kMaxDuration);
  statement.mCustomer = message.customer();
  statement.mKey = proxy::DigestFromBytes(message.key_digest());
  statement.mKeyVersion = message.key_version();
  route.mIsPublic = message.is_public();
  return statement;
}

std::string
EncodeHomeAnswer(const proxy::ClientAnswer& aAnswer, bool aIsLeaving)
{
  v1::ForwardedAnswer message;
  for (const std::string& row : aAnswer.mRows) {
    message.add_rows(row);
  }
  message.set_is_error(aAnswer.mError.has_value());
  if (aAnswer.mError) {
    message.set_code(static_cast<std::uint32_t>(*aAnswer.mError));
  }
  message.set_text(aAnswer.mText);
  message.set_state(static_cast<std::uint32_t>(aAnswer.mState));
  if (aAnswer.mPosition) {
    ToMessage(*aAnswer.mPosition, *message.mutable_position());
  }
  message.set_is_leaving(aIsLeaving);
  return message.SerializeAsString();
}

std::optional<HomeAnswer>
DecodeHomeAnswer(const std::string& aBytes)
{
  v1::ForwardedAnswer message;
  if (!message.ParseFromString(aBytes) ||
      message.code() > static_cast<std::uint32_t>(AnswerCode::Unknown) ||
      message.state() > static_cast<std::uint32_t>(TransactionState::Failed)) {
    return std::nullopt;
  }
  HomeAnswer answer;
  answer.mAnswer.mRows.assign(message.rows().begin(), message.rows().end());
  if (message.is_error()) {
    answer.mAnswer.mError = static_cast<AnswerCode>(message.code());
  }
  answer.mAnswer.mText = message.text();
  answer.mAnswer.mState = static_cast<TransactionState>(message.state());
  if (message.has_position()) {
    answer.mAnswer.mPosition = FromMessage(message.position());
  }
  answer.mIsLeaving = message.is_leaving();
  return answer;
}

} // namespace papayaspindle
