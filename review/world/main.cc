#include "review/world/cases.hh"

#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <iostream>

int main(int argc, char **argv)
{
    using namespace Review;
    if (argc != 3) {
        std::cerr << "usage: world CASE RECORD_FILE, in the project's root\n";
        return static_cast<int>(Verdict::CouldNotRun);
    }
    const auto *setting = std::getenv("TROUBLE");
    const auto trouble = setting == nullptr || std::strcmp(setting, "0") != 0;
    const auto program = std::string("target/bin/marjoramfold-instance");
    const auto found = cases().find(argv[1]);
    if (found == cases().end() || !std::filesystem::exists(program)) {
        std::cerr << "unknown case, or the service is not built\n";
        return static_cast<int>(Verdict::CouldNotRun);
    }
    char folder[] = "/tmp/review-XXXXXX";
    if (mkdtemp(folder) == nullptr) {
        return static_cast<int>(Verdict::CouldNotRun);
    }
    auto verdict = Verdict::CouldNotRun;
    try {
        verdict = found->second(folder, argv[2], program, trouble);
    } catch (const std::exception &exception) {
        std::cerr << exception.what() << "\n";
    }
    std::ofstream(argv[2], std::ios::app) << "trouble " << (trouble ? "on" : "off") << ", exit " << static_cast<int>(verdict) << "\n";
    if (std::getenv("REVIEW_KEEP") == nullptr) {
        std::filesystem::remove_all(folder);
    } else {
        std::cerr << "logs in " << folder << "\n";
    }
    return static_cast<int>(verdict);
}
