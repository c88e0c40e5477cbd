#include "standin/keyvalueaccess.h"

#include <charconv>

namespace papayaspindle::standin {

namespace {

StatementOutcome
Failed(std::string aMessage)
{
  StatementOutcome outcome;
  outcome.mFailed = true;
  outcome.mMessage = std::move(aMessage);
  return outcome;
}

StatementOutcome
Affected(std::uint64_t aCount)
{
  StatementOutcome outcome;
  outcome.mAffected = aCount;
  return outcome;
}

StatementOutcome
Increment(KeyValueAccess& aAccess, const std::string& aKey)
{
  const std::string text = aAccess.Find(aKey).value_or("0");
  std::int64_t number = 0;
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
  if (parsed.ec != std::errc() || parsed.ptr != text.data() + text.size()) {
    return Failed("the value of '" + aKey + "' is no number");
  }
  aAccess.Put(aKey, std::to_string(number + 1));
  return Affected(1);
}

StatementOutcome
Add(KeyValueAccess& aAccess, const Statement& aStatement)
{
  if (aAccess.Find(aStatement.mKey).has_value()) {
    return Failed("the key '" + aStatement.mKey + "' exists");
  }
  aAccess.Put(aStatement.mKey, aStatement.mValue);
  return Affected(1);
}

StatementOutcome
Delete(KeyValueAccess& aAccess, const std::string& aKey)
{
  if (!aAccess.Find(aKey).has_value()) {
    return Affected(0);
  }
  aAccess.Erase(aKey);
  return Affected(1);
}

StatementOutcome
Get(KeyValueAccess& aAccess, const std::string& aKey)
{
  StatementOutcome outcome;
  if (const auto value = aAccess.Find(aKey)) {
    outcome.mRows.push_back({ *value });
  }
  return outcome;
}

StatementOutcome
List(KeyValueAccess& aAccess, const std::string& aPrefix)
{
  StatementOutcome outcome;
  for (KeyValue& pair : aAccess.Scan(aPrefix)) {
    outcome.mRows.push_back({ std::move(pair.mKey), std::move(pair.mValue) });
  }
  return outcome;
}

StatementOutcome
Count(KeyValueAccess& aAccess, const std::string& aPrefix)
{
  StatementOutcome outcome;
  outcome.mRows.push_back({ std::to_string(aAccess.Scan(aPrefix).size()) });
  return outcome;
}

} // namespace

StatementOutcome
RunStatement(KeyValueAccess& aAccess, const Statement& aStatement)
{
  switch (aStatement.mVerb) {
    case Verb::Put:
      aAccess.Put(aStatement.mKey, aStatement.mValue);
      return Affected(1);
    case Verb::Add:
      return Add(aAccess, aStatement);
    case Verb::Get:
      return Get(aAccess, aStatement.mKey);
    case Verb::Delete:
      return Delete(aAccess, aStatement.mKey);
    case Verb::Increment:
      return Increment(aAccess, aStatement.mKey);
    case Verb::Count:
      return Count(aAccess, aStatement.mKey);
    case Verb::List:
      return List(aAccess, aStatement.mKey);
  }
  return Failed("no such statement");
}

} // namespace papayaspindle::standin
