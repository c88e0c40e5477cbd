#pragma once

#include "core/error.h"
#include "standin.pb.h"

#include <string_view>

namespace papayaspindle::standin {

/**
 * Applies "field=value" to fault settings, by the field's name in proto/standin.proto.
 * Lists take comma-separated names; an empty value clears the field.
 *
 * @return MalformedRequest for an unknown field or a value of another type
 */
Status AssignFault(std::string_view aAssignment, v1::FaultSettings& aSettings);

} // namespace papayaspindle::standin
