#pragma once

namespace papayaspindle {

/**
 * The verb `experiment`: load on entry instances, with checks of every answer.
 *
 * @param aArgumentCount number of arguments from the verb on
 * @param aArguments the arguments, the verb first
 * @return exit status: 0 when no rule was broken, 1 when one was or the check failed, 2
 * for wrong usage
 */
int RunExperiment(int aArgumentCount, char** aArguments);

} // namespace papayaspindle
