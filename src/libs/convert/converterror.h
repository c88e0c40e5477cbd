#pragma once

#include "common.pb.h"
#include "core/error.h"

namespace papayaspindle {

/** @return the error's row of the answer table, with its message */
v1::ErrorInfo ToMessage(const Error& aError);
/** @return the error; Internal for an unknown kind */
Error FromMessage(const v1::ErrorInfo& aMessage);
/** @return the execution as a message value */
v1::Execution ToMessage(Execution aExecution);

} // namespace papayaspindle
