#pragma once

#include "backend.pb.h"
#include "core/error.h"

#include <optional>

namespace papayaspindle {

/** @return the error that a member's answer stands for, or nothing when it succeeded */
std::optional<Error> ErrorIn(const v1::SessionAnswer& aAnswer);

} // namespace papayaspindle
