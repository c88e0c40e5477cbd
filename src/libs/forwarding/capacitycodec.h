#pragma once

#include "proxy/capacityreport.h"

#include <optional>
#include <string>

namespace papayaspindle {

/** Peer method that reports a group's uneven members to its other homes. */
inline constexpr const char* kCapacityMethod = "Capacity";

/** @return the report as a serialized CapacityReport message */
std::string EncodeCapacityReport(const proxy::CapacityReport& aReport);
/** @return the report, or nothing when the bytes are not a valid message */
std::optional<proxy::CapacityReport> DecodeCapacityReport(const std::string& aBytes);

} // namespace papayaspindle
