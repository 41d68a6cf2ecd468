// Command-line handling of the daemons.
#include "Program.h"

#include <boost/program_options.hpp>

namespace marigoldlink {

int runProgram(int argc, char** argv, const std::string& name, const std::string& purpose,
    const std::function<void(const std::string& config, bool isCheckOnly)>& run)
{
    namespace po = boost::program_options;
    std::string config;
    po::options_description options(name + ": " + purpose);
    options.add_options()("help", "print this help")("version", "print the version")("config", po::value(&config),
        "settings file in TOML format")("check-config", "check the settings file and exit");
    po::variables_map values;
    try {
        po::store(po::parse_command_line(argc, argv, options), values);
        po::notify(values);
        if (values.count("help")) {
            std::cout << options;
            return 0;
        }
        if (values.count("version")) {
            std::cout << name << " " MARIGOLD_VERSION "\n";
            return 0;
        }
        if (config.empty())
            throw std::runtime_error("--config FILE is required");
        run(config, values.count("check-config") > 0);
        return 0;
    } catch (const std::exception& error) {
        std::cerr << name << ": " << error.what() << '\n';
        return 2;
    }
}

} // namespace marigoldlink
