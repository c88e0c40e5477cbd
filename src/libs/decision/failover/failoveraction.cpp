#include "decision/failover/failoveraction.h"

namespace papayaspindle {

std::string_view
OutcomeText(FailoverOutcome aOutcome)
{
  switch (aOutcome) {
    case FailoverOutcome::Promoted:
      return "view announced";
    case FailoverOutcome::PrimaryAnswered:
      return "primary answered, nothing changed";
    case FailoverOutcome::NotConfirmed:
      return "suspicion not confirmed, nothing changed";
    case FailoverOutcome::Conflict:
      return "higher term seen";
    case FailoverOutcome::NoMajority:
      return "no majority of members answers";
  }
  return "";
}

} // namespace papayaspindle
