#pragma once

#include "ctl/ctlclient.h"

namespace papayaspindle {

/** Words: group, statement. */
int Execute(const CtlCall& aCall);
/** Words: group. */
int Begin(const CtlCall& aCall);
/** Words: transaction id. */
int CommitTransaction(const CtlCall& aCall);
/** Words: transaction id. */
int Rollback(const CtlCall& aCall);
/** Words: group, request id. */
int Outcome(const CtlCall& aCall);

} // namespace papayaspindle
