#pragma once

#include "decision/configuration/configurationchange.h"
#include "operator.pb.h"
#include "peer.pb.h"

namespace papayaspindle {

/** @return the operator's request as a core type */
ChangeRequest FromMessage(const v1::ChangeGroupRequest& aRequest);
/** @return the change as a message */
v1::ConfigurationChange ToMessage(const ConfigurationChange& aChange);
/** @return the message as a change */
ConfigurationChange FromMessage(const v1::ConfigurationChange& aMessage);
/** @return the snapshot as a message */
v1::ConfigurationSnapshot ToMessage(const ConfigurationSnapshot& aSnapshot);
/** @return the message as a snapshot */
ConfigurationSnapshot FromMessage(const v1::ConfigurationSnapshot& aMessage);

} // namespace papayaspindle
