/// \file Stand-in for the network between instances: relays TCP connections and injects
/// partitions and delays.

#include <cassiahub/runtime.hpp>
#include <cassiahub/standin.hpp>

#include <CLI/CLI.hpp>
#include <civetweb.h>

#include <iostream>
#include <string>
#include <vector>

int main(int argc, char ** argv)
{
    using namespace cassiahub;
    standin::link_options options;
    std::vector<std::string> links;
    CLI::App app("cassiahub-link-standin: relays TCP links that can be cut and delayed.\n"
                 "Link states are set with PUT /links, see docs/standins.md.\n"
                 "Exit codes: 0 stopped, 2 bad settings, 3 failed.");
    app.add_option("--control", options.m_control_address,
                   "ip:port for GET and PUT /links");
    app.add_option("--link", links, "FROM,TO,LISTEN,TARGET; repeat for each link")
        ->required()
        ->delimiter('\0');
    app.set_version_flag("--version", CASSIAHUB_VERSION);
    try
    {
        app.parse(argc, argv);
    }
    catch (CLI::ParseError const & error)
    {
        return app.exit(error) == 0 ? runtime::exit_success : runtime::exit_usage;
    }
    for (std::string const & text : links)
    {
        if (!standin::parse_link_spec(text, options.m_links.emplace_back()))
        {
            std::cerr << "--link " << text
                      << ": bad value, allowed: FROM,TO,LISTEN,TARGET\n";
            return runtime::exit_usage;
        }
    }
    mg_init_library(MG_FEATURES_DEFAULT);
    return runtime::run_until_signal("cassiahub-link-standin",
                                     [&options](std::stop_token const & stop)
                                     { return standin::run_links(options, stop); });
}
