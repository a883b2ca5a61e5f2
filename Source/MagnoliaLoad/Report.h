#pragma once

#include <ostream>
#include <string>

#include "MagnoliaLoad/Experiment.h"
#include "MagnoliaLoad/Runner.h"

namespace magnolia::load {

/// Prints the three measures and their rows by workspace.
void printReport(std::ostream &Out, const experiment &Experiment,
                 const run_result &Result);

/// The same as one JSON document; keys never stand in it.
std::string jsonReport(const experiment &Experiment, const run_result &Result);

} // namespace magnolia::load
