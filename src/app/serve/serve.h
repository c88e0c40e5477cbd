#pragma once

namespace papayaspindle {

/**
 * Runs an entry instance until SIGTERM or SIGINT.
 *
 * @param aArguments the verb and what follows it
 * @return exit status: 0 after a complete drain, 1 when the drain gave up or the instance
 * could not start, 2 for wrong usage or settings
 */
int RunServe(int aArgumentCount, char** aArguments);

} // namespace papayaspindle
