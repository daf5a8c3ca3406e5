#include "options.h"

#include <cstdlib>
#include <iostream>
#include <iterator>
#include <popt.h>

namespace standins {

namespace {

void store(const Option &option, const char *text)
{
    if (auto *const *flag = std::get_if<bool *>(&option.target))
        **flag = true;
    else if (auto *const *number = std::get_if<long *>(&option.target))
        **number = std::strtol(text, nullptr, 10);
    else if (auto *const *real = std::get_if<double *>(&option.target))
        **real = std::strtod(text, nullptr);
    else
        *std::get<std::string *>(option.target) = text;
}

} // namespace

void readOptions(int argc, const char **argv, const std::vector<Option> &options)
{
    std::vector<poptOption> table;
    int n = 0;
    for (const Option &it : options) {
        const bool flag = std::holds_alternative<bool *>(it.target);
        table.push_back({it.name, '\0', flag ? unsigned(POPT_ARG_NONE) : unsigned(POPT_ARG_STRING),
                         nullptr, ++n, it.help, nullptr});
    }
    const poptOption help[] = {POPT_AUTOHELP POPT_TABLEEND};
    table.insert(table.end(), std::begin(help), std::end(help));
    const poptContext context = poptGetContext(nullptr, argc, argv, table.data(), 0);
    int rc = 0;
    while ((rc = poptGetNextOpt(context)) > 0) {
        char *text = poptGetOptArg(context);
        store(options[static_cast<std::size_t>(rc) - 1], text == nullptr ? "" : text);
        std::free(text);
    }
    if (rc < -1) {
        std::cerr << poptBadOption(context, 0) << ": " << poptStrerror(rc) << std::endl;
        std::exit(2);
    }
    poptFreeContext(context);
}

} // namespace standins
