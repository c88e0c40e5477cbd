#pragma once

#include "experiment/experimentoptions.h"
#include "experiment/experimentresult.h"

#include <string>

namespace papayaspindle::experiment {

/**
 * Runs one experiment: load, faults, progress on standard error, and the checks.
 *
 * Reports of the fault script are printed on standard output as "fault AT_MS WORDS...".
 */
ExperimentResult RunLoad(const ExperimentOptions& aOptions);

} // namespace papayaspindle::experiment
