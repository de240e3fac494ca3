#pragma once

#include "terminal.h"

#include <iosfwd>
#include <string>
#include <vector>

namespace Marjoramfold::Ctl
{
/// Runs the command given by the arguments, which exclude the program name.
[[nodiscard]] auto runCommandLine(const std::vector<std::string> &arguments, std::ostream &out, std::ostream &err) -> ExitCode;
} // namespace Marjoramfold::Ctl
