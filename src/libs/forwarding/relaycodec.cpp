#include "forwarding/relaycodec.h"

#include "forward.pb.h"

#include <algorithm>

namespace papayaspindle {

namespace {

// Upper limit (30 s) for the durations that another instance sends, such as the wait of a
// relay request.
constexpr std::uint64_t kMaxWaitUs = 30'000'000;

/** @return the duration in microseconds; 0 for a negative one */
std::uint64_t
Microseconds(Duration aDuration)
{
  const auto count =
    std::chrono::duration_cast<std::chrono::microseconds>(aDuration).count();
  return count < 0 ? 0 : static_cast<std::uint64_t>(count);
}

} // namespace

std::string
EncodeRelayRequest(const proxy::RelayRequest& aRequest)
{
  v1::RelayQuestion message;
  message.set_table(aRequest.mTable);
  message.set_after(aRequest.mSinceRevision);
  message.set_wait_us(Microseconds(aRequest.mMaxWait));
  message.set_needs_read(aRequest.mNeedsRead);
  return message.SerializeAsString();
}

std::optional<proxy::RelayRequest>
DecodeRelayRequest(const std::string& aBytes)
{
  v1::RelayQuestion message;
  if (!message.ParseFromString(aBytes) || message.table().empty()) {
    return std::nullopt;
  }
  proxy::RelayRequest request;
  request.mTable = message.table();
  request.mSinceRevision = message.after();
  request.mMaxWait = std::chrono::microseconds(std::min(message.wait_us(), kMaxWaitUs));
  request.mNeedsRead = message.needs_read();
  return request;
}

std::string
EncodeRelayAnswer(const proxy::RelayAnswer& aAnswer)
{
  v1::RelayReply message;
  message.set_is_refused(aAnswer.mIsRefused);
  message.set_is_full(aAnswer.mIsFull);
  message.set_is_read(aAnswer.mIsRead);
  message.set_revision(aAnswer.mRevision);
  message.set_age_us(Microseconds(aAnswer.mAge));
  message.set_held_us(Microseconds(aAnswer.mHoldTime));
  for (const proxy::ChangedRow& change : aAnswer.mRows) {
    v1::RelayedRow& row = *message.add_rows();
    row.set_key(change.mRow.mKey);
    row.set_value(change.mRow.mValue);
    row.set_revision(change.mRow.mRevision);
    row.set_is_removed(change.mIsRemoved);
  }
  return message.SerializeAsString();
}

std::optional<proxy::RelayAnswer>
DecodeRelayAnswer(const std::string& aBytes)
{
  v1::RelayReply message;
  if (!message.ParseFromString(aBytes)) {
    return std::nullopt;
  }
  proxy::RelayAnswer answer;
  answer.mIsRefused = message.is_refused();
  answer.mIsFull = message.is_full();
  answer.mIsRead = message.is_read();
  answer.mRevision = message.revision();
  // Ages and hold times above the limit are treated as equal to it.
  answer.mAge = std::chrono::microseconds(std::min(message.age_us(), kMaxWaitUs));
  answer.mHoldTime = std::chrono::microseconds(std::min(message.held_us(), kMaxWaitUs));
  for (const v1::RelayedRow& row : message.rows()) {
    proxy::ChangedRow change;
    change.mRow.mKey = row.key();
    change.mRow.mValue = row.value();
    change.mRow.mRevision = row.revision();
    change.mIsRemoved = row.is_removed();
    answer.mRows.push_back(std::move(change));
  }
  return answer;
}

} // namespace papayaspindle
