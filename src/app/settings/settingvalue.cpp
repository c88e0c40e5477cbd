#include "settings/settingvalue.h"

#include "observe/log.h"

#include <Poco/File.h>
#include <Poco/Net/IPAddress.h>
#include <fmt/format.h>

#include <charconv>
#include <fstream>

namespace papayaspindle {

namespace {

constexpr std::size_t kMinKeyBytes = 16;
constexpr std::size_t kMaxKeyBytes = 64;

std::optional<std::int64_t>
ParseInteger(std::string_view aText)
{
  std::int64_t number = 0;
  const auto [end, error] =
    std::from_chars(aText.data(), aText.data() + aText.size(), number);
  if (error != std::errc() || end != aText.data() + aText.size()) {
    return std::nullopt;
  }
  return number;
}

bool
IsAddress(std::string_view aText)
{
  constexpr std::int64_t kMaxPort = 65535;
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return false;
  }
  std::string host(aText.substr(0, colon));
  const auto port = ParseInteger(aText.substr(colon + 1));
  if (!port || *port < 1 || *port > kMaxPort) {
    return false;
  }
  const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
  if (bracketed) {
    host = host.substr(1, host.size() - 2);
  }
  Poco::Net::IPAddress address;
  return Poco::Net::IPAddress::tryParse(host, address) &&
         bracketed == (address.family() == Poco::Net::IPAddress::IPv6);
}

bool
IsChoice(std::string_view aChoices, std::string_view aValue)
{
  for (const std::string& choice : SplitText(aChoices, '|')) {
    if (choice == aValue) {
      return true;
    }
  }
  return false;
}

bool
AreLogLevels(std::string_view aValue)
{
  for (const std::string& part : SplitText(aValue, ',')) {
    const std::size_t equals = part.find('=');
    if (equals == std::string::npos || equals == 0 ||
        !LogLevelFromName(part.substr(equals + 1))) {
      return false;
    }
  }
  return true;
}

bool
AreKeys(std::string_view aValue)
{
  for (const std::string& part : SplitText(aValue, ',')) {
    if (!ParseTokenKey(part)) {
      return false;
    }
  }
  return true;
}

bool
CanAppend(const std::string& aPath)
{
  return std::ofstream(aPath, std::ios::app).good();
}

bool
CanRead(const std::string& aPath)
{
  return std::ifstream(aPath).good() && Poco::File(aPath).isFile();
}

std::optional<std::string>
AssignNumber(const SettingRow& aRow, std::string_view aValue, Settings& aSettings)
{
  const auto number = ParseInteger(aValue);
  if (!number) {
    return "not a whole number";
  }
  if (*number < aRow.mMin || *number > aRow.mMax) {
    return "out of range";
  }
  if (const auto* time =
        std::get_if<std::chrono::milliseconds Settings::*>(&aRow.mField)) {
    aSettings.** time = std::chrono::milliseconds(*number);
  } else {
    aSettings.*std::get<std::int64_t Settings::*>(aRow.mField) = *number;
  }
  return std::nullopt;
}

std::optional<std::string>
CheckText(const SettingRow& aRow, const std::string& aValue)
{
  switch (aRow.mType) {
    case SettingType::Address:
      return IsAddress(aValue) ? std::nullopt : std::optional("not an address");
    case SettingType::InputFile:
      return CanRead(aValue) ? std::nullopt : std::optional("the file cannot be read");
    case SettingType::OutputFile:
      return CanAppend(aValue) ? std::nullopt
                               : std::optional("the file cannot be written");
    case SettingType::Choice:
      return IsChoice(aRow.mChoices, aValue) ? std::nullopt
                                             : std::optional("not an allowed word");
    case SettingType::LogLevels:
      return AreLogLevels(aValue) ? std::nullopt : std::optional("not a list of levels");
    case SettingType::Keys:
      return AreKeys(aValue) ? std::nullopt : std::optional("not a list of keys");
    case SettingType::Text:
    case SettingType::Integer:
    case SettingType::Milliseconds:
      break;
  }
  return std::nullopt;
}

} // namespace

std::optional<std::string>
AssignSetting(const SettingRow& aRow, std::string_view aValue, Settings& aSettings)
{
  if (aRow.mType == SettingType::Integer || aRow.mType == SettingType::Milliseconds) {
    return AssignNumber(aRow, aValue, aSettings);
  }
  const std::string value(aValue);
  if (value.empty() && aRow.mRequired) {
    return "empty";
  }
  if (!value.empty()) {
    if (auto wrong = CheckText(aRow, value)) {
      return wrong;
    }
  }
  aSettings.*std::get<std::string Settings::*>(aRow.mField) = value;
  return std::nullopt;
}

std::string
SettingText(const SettingRow& aRow, const Settings& aSettings)
{
  if (const auto* number = std::get_if<std::int64_t Settings::*>(&aRow.mField)) {
    return std::to_string(aSettings.**number);
  }
  if (const auto* time =
        std::get_if<std::chrono::milliseconds Settings::*>(&aRow.mField)) {
    return std::to_string((aSettings.**time).count());
  }
  return aSettings.*std::get<std::string Settings::*>(aRow.mField);
}

std::string
SettingName(const SettingRow& aRow)
{
  return fmt::format("{}.{}", aRow.mSection, aRow.mKey);
}

std::string
AllowedValues(const SettingRow& aRow)
{
  const std::string_view orEmpty = aRow.mRequired ? "" : ", or empty";
  switch (aRow.mType) {
    case SettingType::Text:
      return "a text that is not empty";
    case SettingType::Address:
      return fmt::format("IP:PORT by number, port 1 to 65535{}", orEmpty);
    case SettingType::InputFile:
      return fmt::format("the path of a readable file{}", orEmpty);
    case SettingType::OutputFile:
      return fmt::format("the path of a writable file{}", orEmpty);
    case SettingType::Choice: {
      std::string words;
      for (const std::string& choice : SplitText(aRow.mChoices, '|')) {
        words += (words.empty() ? "" : ", ") + choice;
      }
      return fmt::format("one of {}", words);
    }
    case SettingType::LogLevels:
      return "subsystem=level, separated by commas; levels debug, info, warning, error";
    case SettingType::Keys:
      return "keys of 16 to 64 bytes in hexadecimal, separated by commas";
    case SettingType::Integer:
      return fmt::format("a whole number from {} to {}", aRow.mMin, aRow.mMax);
    case SettingType::Milliseconds:
      return fmt::format("milliseconds from {} to {}", aRow.mMin, aRow.mMax);
  }
  return {};
}

std::vector<std::string>
SplitText(std::string_view aText, char aSeparator)
{
  constexpr std::string_view kBlanks = " \t\r\n";
  std::vector<std::string> parts;
  while (!aText.empty()) {
    const std::size_t end = std::min(aText.find(aSeparator), aText.size());
    const std::string_view part = aText.substr(0, end);
    const std::size_t first = part.find_first_not_of(kBlanks);
    if (first != std::string_view::npos) {
      parts.emplace_back(part.substr(first, part.find_last_not_of(kBlanks) - first + 1));
    }
    aText.remove_prefix(std::min(end + 1, aText.size()));
  }
  return parts;
}

std::optional<std::string>
ParseTokenKey(std::string_view aText)
{
  constexpr std::size_t kDigitsPerByte = 2;
  constexpr int kHexBase = 16;
  if (aText.size() % kDigitsPerByte != 0 ||
      aText.size() < kMinKeyBytes * kDigitsPerByte ||
      aText.size() > kMaxKeyBytes * kDigitsPerByte) {
    return std::nullopt;
  }
  std::string key;
  for (std::size_t at = 0; at < aText.size(); at += kDigitsPerByte) {
    unsigned byte = 0;
    const char* end = aText.data() + at + kDigitsPerByte;
    const auto parsed = std::from_chars(aText.data() + at, end, byte, kHexBase);
    if (parsed.ec != std::errc() || parsed.ptr != end) {
      return std::nullopt;
    }
    key += static_cast<char>(byte);
  }
  return key;
}

} // namespace papayaspindle
