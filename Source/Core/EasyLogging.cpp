// The logging library is distributed as a source file to be compiled into its user.
#include <easylogging++.cc> // NOLINT(bugprone-suspicious-include)
