// Builds the logging library's single source file, which its package ships beside the header.
#include <easylogging++.cc> // NOLINT(bugprone-suspicious-include)
