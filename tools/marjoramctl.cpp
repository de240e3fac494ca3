#include "marjoramctl/commandline.h"

#include <iostream>
#include <string>
#include <vector>

auto main(int argc, char **argv) -> int
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    return static_cast<int>(Marjoramfold::Ctl::runCommandLine(arguments, std::cout, std::cerr));
}
