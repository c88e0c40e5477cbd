#pragma once

namespace papayaspindle {

/**
 * Calls an entry instance and prints the answer.
 *
 * @param aArguments the verb and what follows it
 * @return exit status: 0 done, 1 refused or failed, 2 wrong usage
 */
int RunCtl(int aArgumentCount, char** aArguments);

} // namespace papayaspindle
