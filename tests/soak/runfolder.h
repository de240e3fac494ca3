#pragma once

#include "tests/soak/soakrun.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Marjoramfold::Soak
{
/// Default options with a folder of its own for the run of this process and seed.
[[nodiscard]] auto optionsFor(std::uint64_t seed) -> SoakOptions;

/// Lines of all instances' logs that contain a text.
[[nodiscard]] auto linesWith(const std::string &folder, const std::string &text) -> std::vector<std::string>;
} // namespace Marjoramfold::Soak
