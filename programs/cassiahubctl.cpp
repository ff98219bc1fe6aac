/// \file The operators' client.

#include <cassiahub/ctl.hpp>

#include <CLI/CLI.hpp>
#include <civetweb.h>

#include <string>

namespace
{

/// What the command line sets; the command that was chosen is run after parsing.
struct command_line
{
    std::string m_file;
    std::string m_platform = "127.0.0.1:8500";
    cassiahub::ctl::job_target m_job{"127.0.0.1:8080", {}, {}, {}};
    int m_exit_code = 0;
};

void add_config_commands(CLI::App & app, command_line & line)
{
    CLI::App * const config = app.add_subcommand("config", "the fleet document");
    config->require_subcommand(1);
    CLI::App * const check =
        config->add_subcommand("check", "check a document without a fleet");
    check->add_option("file", line.m_file, "INI file")->required();
    check->callback([&line]
                    { line.m_exit_code = cassiahub::ctl::check_config(line.m_file); });
    CLI::App * const init =
        config->add_subcommand("init", "write the first document of a fleet");
    init->add_option("--platform", line.m_platform, "ip:port of the platform's service");
    init->add_option("file", line.m_file, "INI file")->required();
    init->callback(
        [&line] {
            line.m_exit_code = cassiahub::ctl::init_config(line.m_platform, line.m_file);
        });
}

void add_job_commands(CLI::App & app, command_line & line)
{
    CLI::App * const job = app.add_subcommand("job", "jobs of a tenant");
    job->require_subcommand(1);
    job->add_option("--entry", line.m_job.m_address, "ip:port of an entry instance");
    job->add_option("--tenant", line.m_job.m_tenant, "tenant")->required();
    job->add_option("--key", line.m_job.m_key, "idempotency key")->required();
    job->add_option("--home-domain", line.m_job.m_home_domain, "home failure domain");
    CLI::App * const submit = job->add_subcommand("submit", "submit and await a job");
    submit->add_option("file", line.m_file, "JSON file")->required();
    submit->callback(
        [&line]
        { line.m_exit_code = cassiahub::ctl::submit_job(line.m_job, line.m_file); });
}

} // namespace

int main(int argc, char ** argv)
{
    CLI::App app("cassiahubctl: operates a fleet of cassiahub entry instances.\n"
                 "Exit codes: 0 done, 2 bad input, 3 failed or refused.");
    command_line line;
    app.require_subcommand(1);
    app.set_version_flag("--version", CASSIAHUB_VERSION);
    mg_init_library(MG_FEATURES_DEFAULT);
    add_config_commands(app, line);
    add_job_commands(app, line);
    CLI11_PARSE(app, argc, argv);
    return line.m_exit_code;
}
