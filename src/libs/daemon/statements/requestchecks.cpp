#include "daemon/statements/requestchecks.h"

#include "daemon/statements/statementsettings.h"
#include "decision/session/sessiontokencodec.h"
#include "interfaces/groups.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace papayaspindle {

namespace {

constexpr std::size_t kMaxNameBytes = 128;
constexpr std::size_t kMaxTransactionIdBytes = 512;
// Keeps the conversion to the clock's resolution from overflowing.
constexpr std::uint64_t kMaxStalenessMs = 24ULL * 3600 * 1000;

Error
Malformed(const char* aMessage)
{
  return { ErrorKind::MalformedRequest, aMessage };
}

std::optional<Error>
CheckRequestId(const std::string& aRequestId)
{
  if (aRequestId.size() > kMaxNameBytes) {
    return Malformed("the request id is longer than 128 bytes");
  }
  return std::nullopt;
}

const StalenessRule*
FindRule(const GroupSettings& aGroup, const std::string& aName)
{
  const auto rule =
    std::find_if(aGroup.mStalenessRules.begin(),
                 aGroup.mStalenessRules.end(),
                 [&](const StalenessRule& aRule) { return aRule.mName == aName; });
  return rule == aGroup.mStalenessRules.end() ? nullptr : &*rule;
}

std::optional<Error>
CheckStatement(const v1::ExecuteRequest& aMessage, std::size_t aMaxBytes)
{
  const bool isWrite = aMessage.access() == v1::ACCESS_MODE_WRITE;
  if (!isWrite && aMessage.access() != v1::ACCESS_MODE_READ) {
    return Malformed("the request names no access mode");
  }
  if (aMessage.statement().empty()) {
    return Malformed("the request has no statement");
  }
  if (aMessage.statement().size() > aMaxBytes) {
    return Error{ ErrorKind::StatementTooLarge, "" };
  }
  if (aMessage.caller().size() > kMaxNameBytes) {
    return Malformed("the caller's name is longer than 128 bytes");
  }
  if (isWrite && aMessage.transaction_id().empty() && aMessage.request_id().empty()) {
    return Malformed("a write outside a transaction needs a request id");
  }
  return CheckRequestId(aMessage.request_id());
}

} // namespace

RequestChecks::RequestChecks(const Groups& aGroups,
                             const SessionTokenCodec& aTokens,
                             const StatementSettings& aSettings)
  : mGroups(aGroups)
  , mTokens(aTokens)
  , mSettings(aSettings)
{
}

Result<HomeRequest>
RequestChecks::Check(const v1::ExecuteRequest& aMessage) const
{
  if (const auto error = CheckStatement(aMessage, mSettings.mMaxStatementBytes)) {
    return *error;
  }
  if (!aMessage.transaction_id().empty()) {
    const auto address = CheckTransaction(aMessage.transaction_id());
    if (!IsOk(address)) {
      return ErrorOf(address);
    }
    if (ValueOf(address).mGroup.Text() != aMessage.group()) {
      return Malformed("the transaction is of another database group");
    }
  }
  auto request = CheckSession(aMessage.group(), aMessage.session_token());
  if (!IsOk(request)) {
    return request;
  }
  auto& checked = ValueOf(request);
  checked.mCaller = CallerId(aMessage.caller());
  const auto& rule = aMessage.staleness_rule();
  if (!rule.empty() && FindRule(checked.mGroup, rule) == nullptr) {
    return Malformed("the database group has no staleness rule of that name");
  }
  const bool isWrite = aMessage.access() == v1::ACCESS_MODE_WRITE;
  if (isWrite && !mTokens.HasRoomFor(checked.mSession, checked.mGroup.mGroup)) {
    return Malformed(Describe(TokenFault::TooManyGroups).data());
  }
  return request;
}

Result<HomeRequest>
RequestChecks::Check(const v1::BeginRequest& aMessage) const
{
  if (aMessage.caller().size() > kMaxNameBytes) {
    return Malformed("the caller's name is longer than 128 bytes");
  }
  auto request = CheckSession(aMessage.group(), aMessage.session_token());
  if (IsOk(request)) {
    ValueOf(request).mCaller = CallerId(aMessage.caller());
  }
  return request;
}

Result<HomeRequest>
RequestChecks::Check(const v1::CommitRequest& aMessage) const
{
  if (const auto error = CheckRequestId(aMessage.request_id())) {
    return *error;
  }
  const auto address = CheckTransaction(aMessage.transaction_id());
  if (!IsOk(address)) {
    return ErrorOf(address);
  }
  auto request = CheckSession(ValueOf(address).mGroup.Text(), aMessage.session_token());
  if (IsOk(request) &&
      !mTokens.HasRoomFor(ValueOf(request).mSession, ValueOf(request).mGroup.mGroup)) {
    return Malformed(Describe(TokenFault::TooManyGroups).data());
  }
  return request;
}

Result<HomeRequest>
RequestChecks::Check(const v1::RollbackRequest& aMessage) const
{
  const auto address = CheckTransaction(aMessage.transaction_id());
  if (!IsOk(address)) {
    return ErrorOf(address);
  }
  return CheckSession(ValueOf(address).mGroup.Text(), "");
}

Result<HomeRequest>
RequestChecks::Check(const v1::OutcomeRequest& aMessage) const
{
  if (aMessage.request_id().empty()) {
    return Malformed("the request has no request id");
  }
  if (const auto error = CheckRequestId(aMessage.request_id())) {
    return *error;
  }
  return CheckSession(aMessage.group(), aMessage.session_token());
}

Duration
RequestChecks::MaxStaleness(const HomeRequest& aRequest,
                            const v1::ExecuteRequest& aMessage) const
{
  const Duration stated =
    std::chrono::milliseconds(std::min(aMessage.max_staleness_ms(), kMaxStalenessMs));
  const auto* rule = FindRule(aRequest.mGroup, aMessage.staleness_rule());
  if (aMessage.staleness_rule().empty() || rule == nullptr) {
    return stated;
  }
  const Duration ruled = rule->mMaxStaleness;
  return stated == Duration::zero() ? ruled : std::min(stated, ruled);
}

Result<HomeRequest>
RequestChecks::CheckSession(const std::string& aGroup, const std::string& aToken) const
{
  if (aGroup.empty()) {
    return Malformed("the request names no database group");
  }
  const auto settings = mGroups.Settings(GroupId(aGroup));
  if (!settings) {
    return Error{ ErrorKind::UnknownGroup, "" };
  }
  const auto token = mTokens.Decode(aToken);
  if (const auto* fault = std::get_if<TokenFault>(&token)) {
    return Error{ ErrorKind::BadSessionToken, std::string(Describe(*fault)) };
  }
  HomeRequest request;
  request.mGroup = *settings;
  request.mSession = std::get<SessionToken>(token);
  return request;
}

Result<TransactionAddress>
RequestChecks::CheckTransaction(const std::string& aTransactionId) const
{
  if (aTransactionId.size() > kMaxTransactionIdBytes) {
    return Malformed("the transaction id is too long");
  }
  const auto address = ParseTransactionId(TransactionId(aTransactionId));
  if (!address) {
    return Error{ ErrorKind::UnknownTransaction, "" };
  }
  return *address;
}

} // namespace papayaspindle
