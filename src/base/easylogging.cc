// Compiles easylogging++, which Debian ships as source.
#include <easylogging++.cc> // NOLINT(bugprone-suspicious-include)
