#include "decision/failover/failoveraction.h"

namespace papayaspindle {

std::string_view
EndText(FailoverEnd aOutcome)
{
  switch (aOutcome) {
    case FailoverEnd::Promoted:
      return "view announced";
    case FailoverEnd::PrimaryAnswered:
      return "primary answered, nothing changed";
    case FailoverEnd::NotConfirmed:
      return "suspicion not confirmed, nothing changed";
    case FailoverEnd::Conflict:
      return "higher term seen";
    case FailoverEnd::NoMajority:
      return "no majority of members answers";
  }
  return "";
}

} // namespace papayaspindle
