#include "settings/settingsreader.h"

#include "settings/settingrow.h"
#include "settings/settingvalue.h"

#include <Poco/AutoPtr.h>
#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/String.h>
#include <Poco/Util/IniFileConfiguration.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <fstream>
#include <utility>

namespace papayaspindle {

namespace {

using Ini = Poco::Util::IniFileConfiguration;

const SettingRow*
FindRow(const std::string& aName)
{
  for (const SettingRow& row : SettingRows()) {
    if (Poco::icompare(SettingName(row), aName) == 0) {
      return &row;
    }
  }
  return nullptr;
}

std::string
KnownKeys(std::string_view aSection)
{
  std::string sections;
  std::string keys;
  std::string_view last;
  for (const SettingRow& row : SettingRows()) {
    if (row.mSection == aSection) {
      keys += fmt::format("{}{}", keys.empty() ? "" : ", ", row.mKey);
    }
    if (row.mSection != last) {
      sections += fmt::format("{}{}", sections.empty() ? "" : ", ", row.mSection);
      last = row.mSection;
    }
  }
  return keys.empty() ? fmt::format("sections {}", sections)
                      : fmt::format("keys {}", keys);
}

bool
CanListen(const std::string& aAddress)
{
  try {
    Poco::Net::ServerSocket socket;
    // Addresses of a process that has just ended are usable; those of a running one are
    // not.
    socket.bind(Poco::Net::SocketAddress(aAddress), true, false);
    socket.listen();
    return true;
  } catch (const Poco::Exception&) {
    return false;
  }
}

} // namespace

SettingsReader::SettingsReader(std::string aPath)
  : mPath(std::move(aPath))
{
}

std::variant<Settings, SettingsError>
SettingsReader::Read() const
{
  std::ifstream file(mPath);
  if (!file.good()) {
    return ErrorLine(
      "--settings", mPath, "the file cannot be read", "the path of a readable file");
  }
  Poco::AutoPtr<Ini> ini;
  try {
    ini = new Ini(file);
  } catch (const Poco::Exception& error) {
    return ErrorLine("--settings", mPath, error.displayText(), "an INI file");
  }
  Poco::Util::AbstractConfiguration::Keys sections;
  ini->keys(sections);
  for (const std::string& section : sections) {
    Poco::Util::AbstractConfiguration::Keys keys;
    ini->keys(section, keys);
    if (keys.empty()) {
      return ErrorLine(section, "", "unknown key", KnownKeys(""));
    }
    for (const std::string& key : keys) {
      const std::string name = section + "." + key;
      if (FindRow(name) == nullptr) {
        const std::string value = ini->has(name) ? ini->getRawString(name) : "";
        return ErrorLine(name, value, "unknown key", KnownKeys(section));
      }
    }
  }
  Settings settings;
  for (const SettingRow& row : SettingRows()) {
    const std::string name = SettingName(row);
    if (row.mRequired && !ini->has(name)) {
      return ErrorLine(name, "", "missing", AllowedValues(row));
    }
    const std::string value =
      Poco::trim(ini->getRawString(name, std::string(row.mValue)));
    if (const auto wrong = AssignSetting(row, value, settings)) {
      return ErrorLine(
        name, row.mSecret ? "(hidden)" : value, *wrong, AllowedValues(row));
    }
  }
  for (const SettingsError& error :
       { ReadTokenKeys(settings), CheckTogether(settings) }) {
    if (!error.mLine.empty()) {
      return error;
    }
  }
  return settings;
}

SettingsError
SettingsReader::CheckListeners(const Settings& aSettings) const
{
  const std::array<std::pair<const char*, const std::string&>, 3> listeners{ {
    { "listen.callers", aSettings.mListenCallers },
    { "listen.operators", aSettings.mListenOperators },
    { "listen.peers", aSettings.mListenPeers },
  } };
  for (const auto& [name, address] : listeners) {
    if (!address.empty() && !CanListen(address)) {
      return ErrorLine(name,
                       address,
                       "the address is in use or not of this machine",
                       "a free IP:PORT of this machine");
    }
  }
  return {};
}

SettingsError
SettingsReader::ErrorLine(const std::string& aName,
                          const std::string& aValue,
                          const std::string& aReason,
                          const std::string& aAllowed) const
{
  return { fmt::format(
    "{}: {} = \"{}\": {}; allowed: {}", mPath, aName, aValue, aReason, aAllowed) };
}

SettingsError
SettingsReader::ReadTokenKeys(Settings& aSettings) const
{
  const std::string fileName = "session.token_key_file";
  const bool fromFile = !aSettings.mTokenKeyFile.empty();
  if (fromFile != aSettings.mTokenKeysInline.empty()) {
    return ErrorLine(fileName,
                     aSettings.mTokenKeyFile,
                     fromFile ? "set together with session.token_keys" : "missing",
                     "either this key or session.token_keys");
  }
  std::vector<std::string> texts = SplitText(aSettings.mTokenKeysInline, ',');
  if (fromFile) {
    std::ifstream file(aSettings.mTokenKeyFile);
    const std::string content{ std::istreambuf_iterator<char>(file), {} };
    texts = SplitText(content, '\n');
  }
  for (const std::string& text : texts) {
    const auto key = ParseTokenKey(text);
    if (!key) {
      return ErrorLine(fileName,
                       aSettings.mTokenKeyFile,
                       "the file has a line that is no key",
                       "one key a line, 16 to 64 bytes in hexadecimal");
    }
    aSettings.mTokenKeys.push_back(*key);
  }
  if (aSettings.mTokenKeys.empty()) {
    return ErrorLine(
      fileName, aSettings.mTokenKeyFile, "the file has no key", "at least one key");
  }
  return {};
}

SettingsError
SettingsReader::CheckTogether(const Settings& aSettings) const
{
  if (aSettings.mBackoffMin > aSettings.mBackoffMax) {
    return ErrorLine("failover.backoff_min_ms",
                     std::to_string(aSettings.mBackoffMin.count()),
                     "above failover.backoff_max_ms",
                     fmt::format("at most {}", aSettings.mBackoffMax.count()));
  }
  const std::array<std::array<std::string_view, 3>, 3> tls{ {
    { "tls.caller_key", aSettings.mCallerCertificate, aSettings.mCallerKey },
    { "tls.operator_key", aSettings.mOperatorCertificate, aSettings.mOperatorKey },
    { "tls.peer_key", aSettings.mPeerCertificate, aSettings.mPeerKey },
  } };
  for (const auto& [name, certificate, key] : tls) {
    if (certificate.empty() != key.empty()) {
      return ErrorLine(std::string(name),
                       std::string(key),
                       "certificate and key do not come together",
                       "both or neither");
    }
  }
  if (aSettings.mPeerCertificate.empty() != aSettings.mPeerAuthority.empty()) {
    // Without an authority every peer would be turned away, or none.
    return ErrorLine("tls.peer_authority",
                     aSettings.mPeerAuthority,
                     "peer_certificate and peer_authority do not come together",
                     "both or neither");
  }
  if (aSettings.mDrainAnnounce > aSettings.mDrainDeadline) {
    return ErrorLine("drain.announce_ms",
                     std::to_string(aSettings.mDrainAnnounce.count()),
                     "above drain.deadline_ms",
                     fmt::format("at most {}", aSettings.mDrainDeadline.count()));
  }
  if (!aSettings.mOperatorCertificate.empty() && aSettings.mListenOperators.empty()) {
    return ErrorLine("tls.operator_certificate",
                     aSettings.mOperatorCertificate,
                     "operators have no listener of their own",
                     "empty, or together with listen.operators");
  }
  return {};
}

std::vector<std::string>
EffectiveSettings(const Settings& aSettings)
{
  std::vector<std::string> lines;
  for (const SettingRow& row : SettingRows()) {
    const std::string text = SettingText(row, aSettings);
    const bool hidden = row.mSecret && !text.empty();
    lines.push_back(fmt::format("{}={}", SettingName(row), hidden ? "(hidden)" : text));
  }
  return lines;
}

std::string
SampleSettings()
{
  std::string text = "; Settings of one entry instance of papayaspindle.\n"
                     "; Every key is listed. Keys that are commented out show their "
                     "default.\n";
  std::string_view section;
  for (const SettingRow& row : SettingRows()) {
    if (row.mSection != section) {
      section = row.mSection;
      text += fmt::format("\n[{}]\n", section);
    }
    text += fmt::format("; {}\n; Allowed: {}.{}\n{}{} ={}{}\n",
                        row.mExplanation,
                        AllowedValues(row),
                        row.mRequired ? " Required." : "",
                        row.mRequired ? "" : ";",
                        row.mKey,
                        row.mValue.empty() ? "" : " ",
                        row.mValue);
  }
  return text;
}

} // namespace papayaspindle
