#pragma once

namespace papayaspindle {

/**
 * Measures what the control plane costs each node and how fast changes spread; prints
 * one JSON object as the last line of standard output.
 *
 * @param aArgumentCount number of arguments, the verb included
 * @param aArguments the verb and flags that begin with "--control"; "--control" alone is
 * accepted and means nothing
 * @return exit status
 */
int RunControlBench(int aArgumentCount, char** aArguments);

} // namespace papayaspindle
