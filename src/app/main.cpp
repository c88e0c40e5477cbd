#include <fmt/core.h>

int
main()
{
  fmt::print("papayaspindle {}\n", PAPAYASPINDLE_VERSION);
  return 0;
}
