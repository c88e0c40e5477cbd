#include "daemon/membership/probemessages.h"

#include "convert/convert.h"

#include <google/protobuf/repeated_field.h>

namespace papayaspindle {

namespace {

using Updates = google::protobuf::RepeatedPtrField<v1::InstanceUpdate>;

void
WriteUpdates(const std::vector<InstanceInfo>& aUpdates, Updates* aMessages)
{
  for (const InstanceInfo& update : aUpdates) {
    *aMessages->Add() = ToMessage(update);
  }
}

std::vector<InstanceInfo>
ReadUpdates(const Updates& aMessages)
{
  std::vector<InstanceInfo> updates;
  for (const v1::InstanceUpdate& message : aMessages) {
    updates.push_back(FromMessage(message));
  }
  return updates;
}

} // namespace

v1::ProbeRequest
ToProbeRequest(const ProbeMessage& aMessage, std::uint64_t aRevision)
{
  v1::ProbeRequest request;
  *request.mutable_sender() = ToMessage(aMessage.mSender);
  WriteUpdates(aMessage.mUpdates, request.mutable_updates());
  request.mutable_table_digest()->Add(aMessage.mDigest.begin(), aMessage.mDigest.end());
  request.set_target(aMessage.mTarget.Text());
  request.set_configuration_revision(aRevision);
  return request;
}

ProbeMessage
FromProbeRequest(const v1::ProbeRequest& aRequest)
{
  ProbeMessage message;
  message.mSender = FromMessage(aRequest.sender());
  message.mUpdates = ReadUpdates(aRequest.updates());
  message.mDigest.assign(aRequest.table_digest().begin(), aRequest.table_digest().end());
  message.mTarget = InstanceId(aRequest.target());
  return message;
}

v1::ProbeReply
ToProbeReply(const ProbeMessage& aMessage, std::uint64_t aRevision)
{
  v1::ProbeReply reply;
  *reply.mutable_receiver() = ToMessage(aMessage.mSender);
  WriteUpdates(aMessage.mUpdates, reply.mutable_updates());
  WriteUpdates(aMessage.mEntries, reply.mutable_table_entries());
  reply.set_target_answered(aMessage.mTargetAnswered);
  reply.set_configuration_revision(aRevision);
  return reply;
}

ProbeMessage
FromProbeReply(const v1::ProbeReply& aReply)
{
  ProbeMessage message;
  message.mSender = FromMessage(aReply.receiver());
  message.mUpdates = ReadUpdates(aReply.updates());
  message.mEntries = ReadUpdates(aReply.table_entries());
  message.mTargetAnswered = aReply.target_answered();
  return message;
}

std::vector<ListedCandidate>
FromListing(const v1::ListInstancesReply& aReply)
{
  std::vector<ListedCandidate> listed;
  for (const v1::ListedInstance& instance : aReply.instances()) {
    ListedCandidate& candidate = listed.emplace_back();
    candidate.mInfo.mInstance = InstanceId(instance.instance());
    candidate.mInfo.mAvailabilityZone = AvailabilityZone(instance.availability_zone());
    candidate.mInfo.mPeerAddress = instance.peer_address();
    candidate.mInfo.mCallerAddress = instance.caller_address();
    candidate.mLeaving = instance.state() == v1::INSTANCE_STATE_LEAVING;
  }
  return listed;
}

} // namespace papayaspindle
