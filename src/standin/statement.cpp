#include "standin/statement.h"

#include <fmt/core.h>

#include <algorithm>
#include <array>

namespace papayaspindle::standin {

namespace {

enum class Operands : std::uint8_t
{
  Key,
  KeyAndValue,
  OptionalPrefix,
};

struct VerbRow
{
  std::string_view mName;
  Verb mVerb;
  Operands mOperands;
  bool mWrite;
};

constexpr std::array kVerbs{
  VerbRow{ "PUT", Verb::Put, Operands::KeyAndValue, true },
  VerbRow{ "ADD", Verb::Add, Operands::KeyAndValue, true },
  VerbRow{ "GET", Verb::Get, Operands::Key, false },
  VerbRow{ "DEL", Verb::Delete, Operands::Key, true },
  VerbRow{ "INCR", Verb::Increment, Operands::Key, true },
  VerbRow{ "COUNT", Verb::Count, Operands::OptionalPrefix, false },
  VerbRow{ "LIST", Verb::List, Operands::OptionalPrefix, false },
};

/** Takes the text up to the next space off the front. */
std::string_view
TakeWord(std::string_view& aRest)
{
  const std::size_t end = std::min(aRest.find(' '), aRest.size());
  const std::string_view word = aRest.substr(0, end);
  aRest.remove_prefix(std::min(end + 1, aRest.size()));
  return word;
}

Error
Malformed(std::string_view aText)
{
  constexpr std::size_t kShownBytes = 80;
  return { ErrorKind::MalformedRequest,
           fmt::format("no statement: '{}'", aText.substr(0, kShownBytes)) };
}

} // namespace

Result<Statement>
ParseStatement(std::string_view aText)
{
  std::string_view rest = aText;
  const std::string_view name = TakeWord(rest);
  const auto row = std::find_if(kVerbs.begin(), kVerbs.end(), [&](const VerbRow& aRow) {
    return aRow.mName == name;
  });
  if (row == kVerbs.end()) {
    return Malformed(aText);
  }
  Statement statement;
  statement.mVerb = row->mVerb;
  statement.mKey = TakeWord(rest);
  if (statement.mKey.empty() && row->mOperands != Operands::OptionalPrefix) {
    return Malformed(aText);
  }
  const bool takesValue = row->mOperands == Operands::KeyAndValue;
  if (rest.empty() == takesValue) {
    return Malformed(aText);
  }
  statement.mValue = rest;
  return statement;
}

bool
IsWrite(Verb aVerb)
{
  return std::any_of(kVerbs.begin(), kVerbs.end(), [&](const VerbRow& aRow) {
    return aRow.mVerb == aVerb && aRow.mWrite;
  });
}

} // namespace papayaspindle::standin
