#pragma once

#include "ctl/ctlclient.h"

namespace papayaspindle {

int ListGroups(const CtlCall& aCall);
/** Words: the group. */
int ShowGroup(const CtlCall& aCall);
/** Words: the group; settings from flags or a file. */
int CreateGroup(const CtlCall& aCall);
/** @copydoc CreateGroup */
int ChangeGroup(const CtlCall& aCall);
/** @copydoc CreateGroup */
int PlanChange(const CtlCall& aCall);

} // namespace papayaspindle
