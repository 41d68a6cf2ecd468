// Command-line handling shared by the daemons: --help, --version, --config and --check-config.
#pragma once

#include "marigoldlink/Support/Log.h"

#include <functional>
#include <iostream>
#include <string>

namespace marigoldlink {

// Parses the command line and calls run with the settings file. Returns the exit code: 0 on success, or 2 after an
// error, whose message is printed on standard error.
int runProgram(int argc, char** argv, const std::string& name, const std::string& purpose,
    const std::function<void(const std::string& config, bool isCheckOnly)>& run);

} // namespace marigoldlink
