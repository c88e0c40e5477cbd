#include "ctl/ctl.h"

#include "commandline/commandline.h"

namespace papayaspindle {

int
RunCtl(int, char**)
{
  return kExitUsage;
}

} // namespace papayaspindle
