#pragma once

#include "core/error.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace papayaspindle::standin {

/** What a statement of the stand-in's language does. */
enum class Verb : std::uint8_t
{
  Put,
  Add,
  Get,
  Delete,
  Increment,
  Count,
  List,
};

/** A parsed statement. */
struct Statement
{
  Verb mVerb = Verb::Get;
  /** Key, or prefix for Count and List (empty for all keys). */
  std::string mKey;
  /** Value of Put and Add; the rest of the line. */
  std::string mValue;

  bool operator==(const Statement&) const = default;
};

/**
 * Parses `PUT k v`, `ADD k v`, `GET k`, `DEL k`, `INCR k`, `COUNT prefix`, `LIST prefix`.
 *
 * @return the statement; MalformedRequest when the text is none
 */
Result<Statement> ParseStatement(std::string_view aText);

/** @return whether the verb changes the store */
bool IsWrite(Verb aVerb);

} // namespace papayaspindle::standin
