#pragma once

#include "core/errorkind.h"

#include <string>
#include <utility>
#include <variant>

namespace papayaspindle {

/** An error of a certain kind with a human-readable message. */
struct Error
{
  ErrorKind mKind = ErrorKind::Internal;
  std::string mMessage;
};

/** A value or an error. */
template<typename Value>
using Result = std::variant<Value, Error>;

/** Value of a successful call that returns nothing else. */
struct Done
{};

/** Success or an error. */
using Status = Result<Done>;

/** @return whether the result holds a value */
template<typename Value>
[[nodiscard]] bool
IsOk(const Result<Value>& aResult)
{
  return aResult.index() == 0;
}

/**
 * @param aResult a result that holds a value
 * @return the value
 */
template<typename Value>
[[nodiscard]] const Value&
ValueOf(const Result<Value>& aResult)
{
  return std::get<0>(aResult);
}

/** @copydoc ValueOf */
template<typename Value>
[[nodiscard]] Value&
ValueOf(Result<Value>& aResult)
{
  return std::get<0>(aResult);
}

/**
 * @param aResult a result that holds an error
 * @return the error
 */
template<typename Value>
[[nodiscard]] const Error&
ErrorOf(const Result<Value>& aResult)
{
  return std::get<1>(aResult);
}

} // namespace papayaspindle
