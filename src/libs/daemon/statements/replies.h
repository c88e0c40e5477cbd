#pragma once

#include "convert/convert.h"
#include "core/error.h"

namespace papayaspindle {

/**
 * @tparam Reply a reply message with a field `error`
 * @return a reply that holds only the error
 */
template<typename Reply>
Reply
Refusal(const Error& aError)
{
  Reply reply;
  *reply.mutable_error() = ToMessage(aError);
  return reply;
}

} // namespace papayaspindle
