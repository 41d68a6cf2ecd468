// Compiles the single source file of easylogging++, which its package installs next to the header.
#include <easylogging++.cc> // NOLINT(bugprone-suspicious-include)
