// marigoldctl: command-line tool for operators.
#include "Commands.h"

#include <boost/program_options.hpp>
#include <iostream>

namespace {

using namespace marigoldlink;
namespace po = boost::program_options;

constexpr const char* s_usage = R"(marigoldctl: operates a marigoldlink fleet

  marigoldctl check FILE                 validate a fleet specification
  marigoldctl plan FILE                  show what a fleet specification would change
  marigoldctl apply FILE [--from N]      apply a fleet specification, if version N is still current
  marigoldctl fetch                      print the current fleet specification and its version
  marigoldctl grant TEAM                 create a key and print it once
  marigoldctl withdraw KEY_ID            revoke a key
  marigoldctl dc out NAME                take a data centre out of service
  marigoldctl dc back NAME               bring a data centre back into service
  marigoldctl status                     show the entry instances
  marigoldctl customer show ID           print a customer's settings
  marigoldctl customer cancel ID         mark a customer as cancelled; the settings stay
  marigoldctl customer restore ID        mark a customer as active again

)";

struct UsageError : std::runtime_error {
    using std::runtime_error::runtime_error;
};

struct Arguments {
    std::vector<std::string> words;
    std::uint64_t fromVersion { 0 };
    std::vector<Endpoint> entries;

    const std::string& at(std::size_t index) const
    {
        if (index >= words.size())
            throw UsageError("the command needs more arguments; see --help");
        return words[index];
    }
};

ExitCode run(Commands& commands, const Arguments& arguments)
{
    const auto& command = arguments.at(0);
    if (command == "plan")
        return commands.plan(arguments.at(1));
    if (command == "apply")
        return commands.apply(arguments.at(1), arguments.fromVersion);
    if (command == "fetch")
        return commands.fetch();
    if (command == "grant")
        return commands.grant(TeamId(arguments.at(1)));
    if (command == "withdraw")
        return commands.withdraw(KeyId(arguments.at(1)));
    if (command == "status")
        return commands.status(arguments.entries);
    if (command == "dc" && (arguments.at(1) == "out" || arguments.at(1) == "back"))
        return commands.setDataCenterOutOfService(DataCenterId(arguments.at(2)), arguments.at(1) == "out");
    if (command == "customer" && arguments.at(1) == "show")
        return commands.showCustomer(CustomerId(arguments.at(2)));
    if (command == "customer" && (arguments.at(1) == "cancel" || arguments.at(1) == "restore"))
        return commands.setCustomerCancelled(CustomerId(arguments.at(2)), arguments.at(1) == "cancel");
    throw UsageError("no such command \"" + command + "\"; see --help");
}

ExitCode exitCode(const Error& error)
{
    return error.kind() == ErrorKind::PlatformUnavailable ? ExitCode::Unavailable : ExitCode::Invalid;
}

} // namespace

int main(int argc, char** argv)
{
    Arguments arguments;
    std::string platform;
    std::string output;
    std::int64_t timeout = 0;
    std::vector<std::string> entries;
    po::options_description options("Options");
    options.add_options()("help", "print this help")("version", "print the version")("platform", po::value(&platform),
        "address of the platform's key-value service")("output", po::value(&output)->default_value("table"),
        "table or json")("from", po::value(&arguments.fromVersion), "version that the edit was made from")(
        "entry", po::value(&entries), "address of an entry instance, for status; may repeat")("timeout-ms",
        po::value(&timeout)->default_value(10000), "time to retry calls to the platform, in milliseconds");
    po::options_description all;
    all.add(options).add_options()("words", po::value(&arguments.words));
    po::positional_options_description positions;
    positions.add("words", -1);
    po::variables_map values;
    try {
        po::store(po::command_line_parser(argc, argv).options(all).positional(positions).run(), values);
        po::notify(values);
        if (values.count("help")) {
            std::cout << s_usage << options;
            return 0;
        }
        if (values.count("version")) {
            std::cout << "marigoldctl " MARIGOLD_VERSION "\n";
            return 0;
        }
        if (output != "table" && output != "json")
            throw UsageError("--output must be table or json");
        for (const auto& entry : entries)
            arguments.entries.push_back(Endpoint::parse(entry));
        if (arguments.at(0) == "check") {
            parseFleetSpec(readFile(arguments.at(1)), arguments.at(1));
            std::cout << arguments.at(1) << ": valid\n";
            return 0;
        }
        if (platform.empty())
            throw UsageError("--platform ADDRESS:PORT is required");
        PlatformCalls calls(Endpoint::parse(platform), Duration(timeout));
        Commands commands(calls, output == "json");
        return static_cast<int>(run(commands, arguments));
    } catch (const Error& error) {
        std::cerr << error.what() << '\n';
        return static_cast<int>(exitCode(error));
    } catch (const std::exception& error) {
        std::cerr << "marigoldctl: " << error.what() << '\n';
        return static_cast<int>(ExitCode::Usage);
    }
}
