// marigold-entry: accepts requests from callers and runs them on the workers of its data centre.
#include "../common/Program.h"
#include "Entry.h"

int main(int argc, char** argv)
{
    using namespace marigoldlink;
    return runProgram(argc, argv, "marigold-entry", "accepts requests from callers and runs them on workers",
        [](const std::string& config, bool isCheckOnly) {
            const auto settings = EntrySettings::load(config);
            if (isCheckOnly)
                return;
            setLogLevel(settings.logLevel);
            EventLoop loop;
            Entry entry(loop, settings);
            std::cout << "listening " << entry.start().text() << std::endl;
            loop.onTerminate([&entry] { entry.stop(); });
            loop.run();
        });
}
