#include "standin/faultassignment.h"

#include <fmt/core.h>

#include <charconv>
#include <cstdint>
#include <optional>
#include <string>

namespace papayaspindle::standin {

namespace {

using Field = google::protobuf::FieldDescriptor;

void
AssignNames(std::string_view aValue, const Field& aField, v1::FaultSettings& aSettings)
{
  const auto* reflection = v1::FaultSettings::GetReflection();
  reflection->ClearField(&aSettings, &aField);
  while (!aValue.empty()) {
    const std::size_t end = std::min(aValue.find(','), aValue.size());
    reflection->AddString(&aSettings, &aField, std::string(aValue.substr(0, end)));
    aValue.remove_prefix(std::min(end + 1, aValue.size()));
  }
}

std::optional<std::uint64_t>
ParseNumber(std::string_view aText)
{
  std::uint64_t number = 0;
  const char* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return number;
}

bool
AssignScalar(std::string_view aValue, const Field& aField, v1::FaultSettings& aSettings)
{
  const auto* reflection = v1::FaultSettings::GetReflection();
  if (aField.cpp_type() == Field::CPPTYPE_BOOL) {
    reflection->SetBool(&aSettings, &aField, aValue == "true");
    return aValue == "true" || aValue == "false";
  }
  const std::optional<std::uint64_t> number = ParseNumber(aValue);
  if (!number.has_value()) {
    return false;
  }
  if (aField.cpp_type() == Field::CPPTYPE_UINT32) {
    reflection->SetUInt32(&aSettings, &aField, static_cast<std::uint32_t>(*number));
  } else {
    reflection->SetUInt64(&aSettings, &aField, *number);
  }
  return true;
}

} // namespace

Status
AssignFault(std::string_view aAssignment, v1::FaultSettings& aSettings)
{
  const std::size_t equals = aAssignment.find('=');
  const std::string name(aAssignment.substr(0, equals));
  const Field* field = v1::FaultSettings::descriptor()->FindFieldByName(name);
  if (equals == std::string_view::npos || field == nullptr) {
    return Error{ ErrorKind::MalformedRequest,
                  fmt::format("no fault switch: '{}'", aAssignment) };
  }
  const std::string_view value = aAssignment.substr(equals + 1);
  if (field->is_repeated()) {
    AssignNames(value, *field, aSettings);
    return Done();
  }
  if (value.empty()) {
    v1::FaultSettings::GetReflection()->ClearField(&aSettings, field);
    return Done();
  }
  if (!AssignScalar(value, *field, aSettings)) {
    return Error{ ErrorKind::MalformedRequest,
                  fmt::format("bad value in '{}'", aAssignment) };
  }
  return Done();
}

} // namespace papayaspindle::standin
