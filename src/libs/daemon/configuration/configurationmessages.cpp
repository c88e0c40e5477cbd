#include "daemon/configuration/configurationmessages.h"

#include "convert/convert.h"

namespace papayaspindle {

ChangeRequest
FromMessage(const v1::ChangeGroupRequest& aRequest)
{
  ChangeRequest request;
  request.mSettings = FromMessage(aRequest.settings());
  request.mExpectedRevision = aRequest.expected_revision();
  request.mRequest = RequestId(aRequest.request_id());
  return request;
}

v1::ConfigurationChange
ToMessage(const ConfigurationChange& aChange)
{
  v1::ConfigurationChange message;
  message.set_revision(aChange.mRevision);
  message.set_request_id(aChange.mRequest.Text());
  *message.mutable_settings() = ToMessage(aChange.mSettings);
  message.set_accepted_unix_ms(aChange.mAcceptedUnixMs);
  return message;
}

ConfigurationChange
FromMessage(const v1::ConfigurationChange& aMessage)
{
  ConfigurationChange change;
  change.mRevision = aMessage.revision();
  change.mRequest = RequestId(aMessage.request_id());
  change.mSettings = FromMessage(aMessage.settings());
  change.mAcceptedUnixMs = aMessage.accepted_unix_ms();
  return change;
}

v1::ConfigurationSnapshot
ToMessage(const ConfigurationSnapshot& aSnapshot)
{
  v1::ConfigurationSnapshot message;
  message.set_revision(aSnapshot.mRevision);
  for (const GroupSettings& group : aSnapshot.mGroups) {
    *message.add_groups() = ToMessage(group);
  }
  return message;
}

ConfigurationSnapshot
FromMessage(const v1::ConfigurationSnapshot& aMessage)
{
  ConfigurationSnapshot snapshot;
  snapshot.mRevision = aMessage.revision();
  for (const v1::GroupSettings& group : aMessage.groups()) {
    snapshot.mGroups.push_back(FromMessage(group));
  }
  return snapshot;
}

} // namespace papayaspindle
