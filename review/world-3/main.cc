#include "review/world-3/cases.hh"

#include <cstdlib>
#include <iostream>
#include <string>

namespace
{
constexpr int CouldNotRun = 2;
}

/// Plays one case: world-3 CASE FOLDER PROGRAM. Without the disruption when TROUBLE=0 is set.
auto main(int argc, char **argv) -> int
{
    if (argc != 4) {
        std::cerr << "usage: world-3 CASE FOLDER PROGRAM\n";
        return CouldNotRun;
    }
    const auto *trouble = std::getenv("TROUBLE");
    const auto withTrouble = trouble == nullptr || std::string(trouble) != "0";
    const auto found = Review::cases().find(argv[1]);
    if (found == Review::cases().end()) {
        std::cerr << "no case " << argv[1] << "\n";
        return CouldNotRun;
    }
    return found->second({argv[2], argv[3], withTrouble});
}
