#include "convert/converterror.h"

namespace papayaspindle {

namespace {

v1::RetryAdvice
RetryMessage(RetryAdvice aRetry)
{
  switch (aRetry) {
    case RetryAdvice::Never:
      return v1::RETRY_ADVICE_NEVER;
    case RetryAdvice::Safe:
      return v1::RETRY_ADVICE_SAFE;
    case RetryAdvice::AfterBackoff:
      return v1::RETRY_ADVICE_AFTER_BACKOFF;
    case RetryAdvice::LookUpOutcome:
      return v1::RETRY_ADVICE_LOOK_UP_OUTCOME;
  }
  return v1::RETRY_ADVICE_UNSPECIFIED;
}

} // namespace

v1::Execution
ToMessage(Execution aExecution)
{
  switch (aExecution) {
    case Execution::Ran:
      return v1::EXECUTION_RAN;
    case Execution::NotRun:
      return v1::EXECUTION_NOT_RUN;
    case Execution::Unknown:
      return v1::EXECUTION_UNKNOWN;
  }
  return v1::EXECUTION_UNSPECIFIED;
}

v1::ErrorInfo
ToMessage(const Error& aError)
{
  const ErrorAnswer& answer = AnswerFor(aError.mKind);
  v1::ErrorInfo message;
  message.set_kind(std::string(answer.mName));
  message.set_message(aError.mMessage.empty() ? std::string(answer.mText)
                                              : aError.mMessage);
  message.set_execution(ToMessage(answer.mExecution));
  message.set_retry(RetryMessage(answer.mRetry));
  return message;
}

Error
FromMessage(const v1::ErrorInfo& aMessage)
{
  return { ErrorKindFromName(aMessage.kind()).value_or(ErrorKind::Internal),
           aMessage.message() };
}

} // namespace papayaspindle
