// linnetlead: one gateway, and the commands beside it. Command line only.
#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <exception>
#include <string>

#include "config/operator_config/document.h"
#include "server/change_commands.h"
#include "server/commands.h"
#include "server/gateway_program.h"
#include "server/relay_mode.h"

namespace {

using namespace linnetlead;

constexpr const char* kVersion = LINNETLEAD_VERSION;

}  // namespace

int main(int argc, char** argv) {
    std::signal(SIGPIPE, SIG_IGN);
    CLI::App app{
        "linnetlead, a rate-limiting gateway. Without a sub-command it serves, by the configuration "
        "that BALANCER_CONFIG names."};
    app.set_version_flag("--version", std::string("linnetlead ") + kVersion);
    app.require_subcommand(0, 1);
    std::string operators, file, other, config, at, account, folder;
    bool as_json = false;
    int code = 0;
    app.add_option("--operators", operators, "the operators' file")->type_name("FILE");
    const auto command = [&](CLI::App& parent, const char* name, const char* help, auto run) {
        CLI::App* const made = parent.add_subcommand(name, help);
        made->callback([&code, run] { code = run(); });
        return made;
    };
    const auto with_config = [&](CLI::App* of) {
        of->add_option("--config", config, "the configuration that it has to fit")
            ->envname("BALANCER_CONFIG");
    };
    const auto with_file = [&](CLI::App* of, std::string& into, const char* name, const char* help) {
        of->add_option(name, into, help)->required();
    };
    constexpr const char* kOperatorsFile = "the operators' file";
    CLI::App* one = command(app, "check", "check an operators' file",
                            [&] { return server::check_operators(file, config); });
    with_file(one, file, "file", kOperatorsFile);
    with_config(one);
    command(app, "schema", "print the schema of operators' files",
            [] { return std::puts(std::string(operator_config::schema()).c_str()) < 0 ? 1 : 0; });
    CLI::App* const plans = app.add_subcommand("plans", "the plan book");
    plans->require_subcommand(1);
    one =
        command(*plans, "check", "check a plan book", [&] { return server::check_operators(file, config); });
    with_file(one, file, "file", kOperatorsFile);
    with_config(one);
    one = command(*plans, "show", "who is on which plan",
                  [&] { return server::show_plans(file, config, at, account); });
    with_file(one, file, "file", kOperatorsFile);
    one->add_option("--at", at, "the instant; else now");
    one->add_option("--account", account, "this one's terms alone");
    with_config(one);
    one = command(*plans, "diff", "what differs between two plan books",
                  [&] { return server::diff_plans(file, other, config, at); });
    with_file(one, file, "old", kOperatorsFile);
    with_file(one, other, "new", kOperatorsFile);
    one->add_option("--at", at, "the instant; else now");
    with_config(one);
    std::string relay_name;
    server::GivenChange change;
    one = command(app, "relay", "run one relay of the fleet that a file declares",
                  [&] { return server::run_relay(file, relay_name); });
    with_file(one, file, "--config", kOperatorsFile);
    with_file(one, relay_name, "--name", "which of its relays");
    CLI::App* const changes = app.add_subcommand("change", "what relays distribute");
    changes->require_subcommand(1);
    const auto with_relays = [&](CLI::App* of) {
        of->add_option("--relay", change.relays, "a relay's address; several are tried in turn")
            ->required()
            ->allow_extra_args(false);
    };
    one =
        command(*changes, "apply", "give a change to a relay", [&] { return server::apply_change(change); });
    with_file(one, change.file, "file", "an operators' file, or a JSON list of edits");
    one->add_option("--old", change.old, "the operators' file before: what differs is the change");
    one->add_option("--id", change.id, "names the change: given again it is the same one");
    one->add_option("--base", change.base, "the revision that it was made against");
    one->add_option("--within", change.within_s, "seconds for an answer");
    one->add_flag("--in-parts", change.in_parts, "changes of their own where it is over one's bounds");
    one->add_option("--config", change.config, "the configuration that the files have to fit")
        ->envname("BALANCER_CONFIG");
    with_relays(one);
    one = command(*changes, "diff", "the edits that make one operators' file of another",
                  [&] { return server::diff_changes(file, other, config); });
    with_file(one, file, "old", kOperatorsFile);
    with_file(one, other, "new", kOperatorsFile);
    with_config(one);
    one = command(*changes, "state", "what a relay says of itself",
                  [&] { return server::show_relay(change.relays); });
    with_relays(one);
    CLI::App* const usage = app.add_subcommand("usage", "a usage ledger");
    usage->require_subcommand(1);
    one = command(*usage, "show", "what was used", [&] { return server::show_usage(file, as_json); });
    with_file(one, file, "ledger", "the ledger");
    one->add_flag("--json", as_json, "a JSON object a line");
    one = command(*usage, "export", "write its batches to a folder",
                  [&] { return server::export_usage(file, folder); });
    with_file(one, file, "ledger", "the ledger");
    with_file(one, folder, "--to", "the folder");
    one = command(*usage, "verify", "recompute sums, sequence and checksums",
                  [&] { return server::verify_usage(file); });
    with_file(one, file, "ledger", "the ledger");
    try {
        app.parse(argc, argv);
        return app.get_subcommands().empty() ? server::run_gateway(operators) : code;
    } catch (const CLI::ParseError& e) {
        return app.exit(e);
    } catch (const std::exception& e) {
        std::fprintf(stderr, "linnetlead: %s\n", e.what());
        // A loop with open handles is left to the system.
        std::_Exit(1);
    }
}
