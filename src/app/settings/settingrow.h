#pragma once

#include "settings/settings.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <variant>

namespace papayaspindle {

/** What a setting's value is checked for. */
enum class SettingType : std::uint8_t
{
  Text,
  /** "ip:port", by number. */
  Address,
  /** Path of a file that can be read at start. */
  InputFile,
  /** Path of a file that is appended to. */
  OutputFile,
  /** One of the words in SettingRow::mChoices. */
  Choice,
  /** "subsystem=level", separated by commas. */
  LogLevels,
  /** Hexadecimal keys, separated by commas. */
  Keys,
  Integer,
  Milliseconds,
};

/** The member of Settings that a row fills. */
using SettingField = std::variant<std::string Settings::*,
                                  std::int64_t Settings::*,
                                  std::chrono::milliseconds Settings::*>;

/** One key of the settings file. */
struct SettingRow
{
  std::string_view mSection;
  std::string_view mKey;
  SettingType mType = SettingType::Text;
  SettingField mField;
  /** Whether the file must have the key, with a value that is not empty. */
  bool mRequired = false;
  /** Value when the key is absent; an example for a required key. */
  std::string_view mValue;
  /** Allowed range of numbers, both ends inclusive. */
  std::int64_t mMin = 0;
  std::int64_t mMax = 0;
  /** Allowed words of a Choice, separated by '|'. */
  std::string_view mChoices;
  /** For the sample file. */
  std::string_view mExplanation;
  /** Whether the value is hidden from operators. */
  bool mSecret = false;
};

/** @return the table of all settings, by section */
std::span<const SettingRow> SettingRows();

/** @return "section.key" */
std::string SettingName(const SettingRow& aRow);

/** @return what is allowed, for example "a whole number from 1 to 1024" */
std::string AllowedValues(const SettingRow& aRow);

} // namespace papayaspindle
