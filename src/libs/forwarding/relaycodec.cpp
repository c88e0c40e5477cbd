#include "forwarding/relaycodec.h"

#include "forward.pb.h"
#include "forwarding/microseconds.h"

namespace papayaspindle {

std::string
EncodeRelayRequest(const proxy::RelayRequest& aRequest)
{
  v1::RelayQuestion message;
  message.set_table(aRequest.mTable);
  message.set_after(aRequest.mSinceRevision);
  message.set_wait_us(ToMicroseconds(aRequest.mMaxWait));
  message.set_needs_read(aRequest.mNeedsRead);
  message.set_incarnation(aRequest.mIncarnation);
  message.set_after_incarnation(aRequest.mSinceIncarnation);
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
  request.mMaxWait = FromMicroseconds(message.wait_us(), kMaxReceivedWait);
  request.mNeedsRead = message.needs_read();
  request.mIncarnation = message.incarnation();
  request.mSinceIncarnation = message.after_incarnation();
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
  message.set_incarnation(aAnswer.mIncarnation);
  message.set_age_us(ToMicroseconds(aAnswer.mAge));
  message.set_held_us(ToMicroseconds(aAnswer.mHoldTime));
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
  answer.mIncarnation = message.incarnation();
  // Ages and hold times above the limit are treated as equal to it.
  answer.mAge = FromMicroseconds(message.age_us(), kMaxReceivedWait);
  answer.mHoldTime = FromMicroseconds(message.held_us(), kMaxReceivedWait);
  for (const v1::RelayedRow& row : message.rows()) {
    proxy::ChangedRow change;
    change.mRow.mKey = row.key();
    change.mRow.mValue = row.value();
    change.mRow.mRevision = row.revision();
    change.mRow.mIncarnation = message.incarnation();
    change.mIsRemoved = row.is_removed();
    answer.mRows.push_back(std::move(change));
  }
  return answer;
}

} // namespace papayaspindle
