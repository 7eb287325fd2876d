// The logging library ships as one source file that each project compiles.
#include <easylogging++.cc> // NOLINT(bugprone-suspicious-include)
