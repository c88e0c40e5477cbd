#pragma once

#include "settings/settingrow.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace papayaspindle {

/**
 * Checks a value and puts it into the settings.
 *
 * @param aRow the key
 * @param aValue text from the file, without outer blanks
 * @param aSettings receives the value
 * @return what is wrong with the value, or nothing
 */
std::optional<std::string> AssignSetting(const SettingRow& aRow,
                                         std::string_view aValue,
                                         Settings& aSettings);

/** @return the value as text, as a settings file would have it */
std::string SettingText(const SettingRow& aRow, const Settings& aSettings);

/** @return the text's parts, without blanks around them; no empty parts */
std::vector<std::string> SplitText(std::string_view aText, char aSeparator);

/**
 * @param aText hexadecimal digits
 * @return the key's bytes, or nothing when the text is no key of 16 to 64 bytes
 */
std::optional<std::string> ParseTokenKey(std::string_view aText);

} // namespace papayaspindle
