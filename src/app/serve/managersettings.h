#pragma once

#include "daemon/configuration/configurationmanager.h"
#include "daemon/failover/failovermanager.h"
#include "daemon/membership/membershipmanager.h"
#include "daemon/monitor/membermonitor.h"
#include "daemon/statements/statementsettings.h"
#include "serve/grpclistener.h"
#include "settings/settings.h"
#include "transport/channeltable.h"
#include "transport/peersettings.h"
#include "transport/tlssettings.h"

namespace papayaspindle {

/** The settings of each part, from those of the instance. */

ListenerSettings CallerListenerSettings(const Settings& aSettings);
ListenerSettings OperatorListenerSettings(const Settings& aSettings);
TlsSettings PeerTlsSettings(const Settings& aSettings);
/** Without TLS context. */
PeerClientSettings PeerClientSettingsOf(const Settings& aSettings);
/** Without TLS context. */
PeerServerSettings PeerServerSettingsOf(const Settings& aSettings);
ChannelSettings MemberChannelSettings(const Settings& aSettings);
ChannelSettings PlatformChannelSettings(const Settings& aSettings);
MembershipManagerSettings MembershipSettingsOf(const Settings& aSettings);
ConfigurationManagerSettings ConfigurationSettingsOf(const Settings& aSettings);
FailoverManagerSettings FailoverSettingsOf(const Settings& aSettings);
MonitorSettings MonitorSettingsOf(const Settings& aSettings);
StatementSettings StatementSettingsOf(const Settings& aSettings);

} // namespace papayaspindle
