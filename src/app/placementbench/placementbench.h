#pragma once

namespace papayaspindle {

/**
 * Compares ways to place groups on homes; prints one JSON object.
 *
 * @param aArgumentCount number of arguments, the verb included
 * @param aArguments the verb and an optional "--seed=N"
 * @return exit status
 */
int RunPlacementBench(int aArgumentCount, char** aArguments);

} // namespace papayaspindle
