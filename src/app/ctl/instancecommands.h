#pragma once

#include "ctl/ctlclient.h"

namespace papayaspindle {

int ShowInstance(const CtlCall& aCall);
int ShowMetrics(const CtlCall& aCall);

} // namespace papayaspindle
