// Command line that the daemons share: --help, --version, --config and --check-config.
#pragma once

#include "marigoldlink/Support/Log.h"

#include <functional>
#include <iostream>
#include <string>

namespace marigoldlink {

// Runs the program with its settings file. Returns the exit code: 0, or 2 after a message on standard error.
int runProgram(int argc, char** argv, const std::string& name, const std::string& purpose,
    const std::function<void(const std::string& config, bool isCheckOnly)>& run);

} // namespace marigoldlink
