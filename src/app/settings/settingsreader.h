#pragma once

#include "settings/settings.h"

#include <string>
#include <variant>
#include <vector>

namespace papayaspindle {

/** Why settings are refused: one line that names file, key, value and what is allowed. */
struct SettingsError
{
  std::string mLine;
};

/** Reads and checks the settings file of an instance. */
class SettingsReader
{
public:
  /** @param aPath path of an INI file */
  explicit SettingsReader(std::string aPath);

  /** @return the settings, or the first error */
  [[nodiscard]] std::variant<Settings, SettingsError> Read() const;
  /**
   * Binds each listen address once, so that an address in use ends the start early.
   *
   * @return the first address that cannot be listened on, or an empty line
   */
  [[nodiscard]] SettingsError CheckListeners(const Settings& aSettings) const;

private:
  [[nodiscard]] SettingsError ErrorLine(const std::string& aName,
                                        const std::string& aValue,
                                        const std::string& aReason,
                                        const std::string& aAllowed) const;
  [[nodiscard]] SettingsError ReadTokenKeys(Settings& aSettings) const;
  [[nodiscard]] SettingsError CheckTogether(const Settings& aSettings) const;

  std::string mPath;
};

/** @return "section.key=value" for each setting; secrets are hidden */
std::vector<std::string> EffectiveSettings(const Settings& aSettings);

/** @return the text of docs/papayaspindle.ini.sample */
std::string SampleSettings();

} // namespace papayaspindle
