// Settings errors name the file, line, field, value and the accepted values.
#include "marigoldlink/Support/Settings.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <stdexcept>

namespace marigoldlink::testing {

TEST(Settings, ReportsEveryFaultAtOnce)
{
    auto settings = Settings::parse("level = \"loud\"\n[limits]\nqueue = 0\nextra = 1\n", "entry.toml");
    settings.text("listen");
    settings.choice("level", "info", { "info", "error" });
    settings.integer("limits.queue", 5, 1, 10);
    try {
        settings.finish();
        FAIL() << "finish() must throw if there are errors";
    } catch (const std::runtime_error& error) {
        const std::string text = error.what();
        EXPECT_THAT(text, ::testing::HasSubstr("listen: the field is required"));
        EXPECT_THAT(text, ::testing::HasSubstr("entry.toml:1: level: accepted: info, error (found "));
        EXPECT_THAT(text, ::testing::HasSubstr("entry.toml:3: limits.queue: accepted: an integer between 1 and 10"));
        EXPECT_THAT(text, ::testing::HasSubstr("entry.toml:4: limits.extra: no such field"));
    }
}

TEST(Settings, ReadsTruthValuesAndRejectsOtherTypes)
{
    auto settings = Settings::parse("strict = true\nloose = 1\n", "entry.toml");
    EXPECT_TRUE(settings.boolean("strict", false));
    EXPECT_TRUE(settings.boolean("absent", true));
    EXPECT_FALSE(settings.boolean("loose", false));
    EXPECT_THROW(settings.finish(), std::runtime_error);
}

} // namespace marigoldlink::testing
