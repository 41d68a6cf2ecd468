// marigold-keeper: maintains the instances and keeps enough capacity in each pool meanwhile.
#include "../common/Program.h"
#include "Keeper.h"

int main(int argc, char** argv)
{
    using namespace marigoldlink;
    return runProgram(argc, argv, "marigold-keeper",
        "maintains the instances and keeps enough capacity in each pool meanwhile",
        [](const std::string& config, bool isCheckOnly) {
            const auto settings = KeeperSettings::load(config);
            if (isCheckOnly)
                return;
            setLogLevel(settings.logLevel);
            EventLoop loop;
            Keeper keeper(loop, settings);
            std::cout << "listening " << keeper.start().text() << std::endl;
            loop.onTerminate([&keeper] { keeper.stop(); });
            loop.run();
        });
}
