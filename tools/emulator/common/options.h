// Command-line options of the stand-ins, read by popt from a table.

#ifndef KUMQUATHAVEN_STANDINS_COMMON_OPTIONS_H
#define KUMQUATHAVEN_STANDINS_COMMON_OPTIONS_H

#include <string>
#include <variant>
#include <vector>

namespace standins {

/// One option: its name, where its value goes, and what it means.
struct Option
{
    const char *name;
    /// A bool is set by the bare option; the others take a value.
    std::variant<std::string *, long *, double *, bool *> target;
    const char *help;
};

/// Reads the command line. Prints what is wrong and ends the program with code 2 if it cannot be
/// read.
void readOptions(int argc, const char **argv, const std::vector<Option> &options);

} // namespace standins

#endif // KUMQUATHAVEN_STANDINS_COMMON_OPTIONS_H
