#include "standin/sessionanswers.h"

#include <utility>

namespace papayaspindle::standin {

v1::SessionAnswer
Refusal(v1::MemberError aError, std::string aMessage)
{
  v1::SessionAnswer answer;
  answer.set_error(aError);
  answer.set_message(std::move(aMessage));
  return answer;
}

v1::SessionAnswer
AnswerOf(const StatementOutcome& aOutcome)
{
  v1::SessionAnswer answer;
  if (aOutcome.mFailed) {
    answer.set_error(v1::MEMBER_ERROR_STATEMENT_FAILED);
    answer.set_message(aOutcome.mMessage);
  }
  answer.set_affected(aOutcome.mAffected);
  for (const std::vector<std::string>& columns : aOutcome.mRows) {
    v1::Row* row = answer.add_rows();
    for (const std::string& column : columns) {
      row->add_columns(column);
    }
  }
  return answer;
}

} // namespace papayaspindle::standin
