#include "tests/soak/runfolder.h"

#include <unistd.h>

#include <filesystem>
#include <fstream>

namespace Marjoramfold::Soak
{
auto optionsFor(std::uint64_t seed) -> SoakOptions
{
    SoakOptions options;
    options.seed_ = seed;
    options.program_ = MARJORAMFOLD_INSTANCE;
    options.folder_ = (std::filesystem::temp_directory_path() / ("marjoramfold-soak-" + std::to_string(seed) + "-" + std::to_string(getpid()))).string();
    return options;
}

auto linesWith(const std::string &folder, const std::string &text) -> std::vector<std::string>
{
    std::vector<std::string> lines;
    for (const auto &file : std::filesystem::directory_iterator(folder)) {
        std::ifstream log(file.path());
        for (std::string line; file.path().extension() == ".log" && std::getline(log, line);) {
            if (line.find(text) != std::string::npos) {
                lines.push_back(line);
            }
        }
    }
    return lines;
}
} // namespace Marjoramfold::Soak
