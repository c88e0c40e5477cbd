#pragma once

#include "common.pb.h"
#include "operator.pb.h"

#include <google/protobuf/message.h>

#include <string>
#include <string_view>

namespace papayaspindle {

/** Prints a reply as one JSON object on a line of its own. */
void PrintJson(const google::protobuf::Message& aReply);

/** Prints kind, message, whether it ran and retry advice to standard error. */
void PrintError(const v1::ErrorInfo& aError);

/** Prints a line of usage to standard error. */
void PrintUsageError(std::string_view aLine);

/** @return "ran", "not run" or "unknown" */
std::string_view ExecutionText(v1::Execution aExecution);

/** @return "term/index" */
std::string PositionText(const v1::LogPosition& aPosition);

/** Prints a group's settings, one item a line. */
void PrintSettings(const v1::GroupSettings& aSettings);

} // namespace papayaspindle
