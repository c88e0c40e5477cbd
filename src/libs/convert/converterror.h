#pragma once

#include "common.pb.h"
#include "core/error.h"

namespace papayaspindle {

/** @return the answer for the kind of the error, with the message of the error unless it
 * is empty */
v1::ErrorInfo ToMessage(const Error& aError);
/** @return the error in the message; ErrorKind::Internal for an unknown kind */
Error FromMessage(const v1::ErrorInfo& aMessage);
/** @return the execution as a protobuf enum value */
v1::Execution ToMessage(Execution aExecution);

} // namespace papayaspindle
