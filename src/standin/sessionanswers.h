#pragma once

#include "backend.pb.h"
#include "standin/keyvalueaccess.h"

#include <string>

namespace papayaspindle::standin {

/** @return the answer to a request that was refused before it ran */
v1::SessionAnswer Refusal(v1::MemberError aError, std::string aMessage);

/** @return the answer to a statement that ran, without its position */
v1::SessionAnswer AnswerOf(const StatementOutcome& aOutcome);

} // namespace papayaspindle::standin
