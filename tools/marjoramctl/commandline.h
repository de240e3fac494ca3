#pragma once

#include "terminal.h"

#include <iosfwd>
#include <string>
#include <vector>

namespace Marjoramfold::Ctl
{
/// Runs a command line, without the name of the program.
[[nodiscard]] auto runCommandLine(const std::vector<std::string> &arguments, std::ostream &out, std::ostream &err) -> ExitCode;
} // namespace Marjoramfold::Ctl
