#pragma once

#include "common.pb.h"
#include "convert/converterror.h"
#include "core/groupsettings.h"
#include "core/groupview.h"
#include "core/instanceinfo.h"
#include "core/logposition.h"
#include "operator.pb.h"
#include "peer.pb.h"

#include <string_view>

namespace papayaspindle {

/** @return the position as a protobuf message */
v1::LogPosition ToMessage(const LogPosition& aPosition);
/** @return the position in the message */
LogPosition FromMessage(const v1::LogPosition& aMessage);

/** @return the settings as a protobuf message */
v1::GroupSettings ToMessage(const GroupSettings& aSettings);
/** @return the settings in the message */
GroupSettings FromMessage(const v1::GroupSettings& aMessage);

/** @return the view as a protobuf message */
v1::GroupView ToMessage(const GroupView& aView);
/** @return the view in the message */
GroupView FromMessage(const v1::GroupView& aMessage);

/** @return the instance as a protobuf message */
v1::InstanceUpdate ToMessage(const InstanceInfo& aInfo);
/** @return the instance in the message; Liveness::Alive for an unknown liveness */
InstanceInfo FromMessage(const v1::InstanceUpdate& aMessage);

} // namespace papayaspindle
