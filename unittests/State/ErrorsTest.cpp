// Completeness and consistency of the mapping from error kind to HTTP response.
#include "marigoldlink/State/Errors.h"

#include <gtest/gtest.h>
#include <set>

namespace marigoldlink::testing {

TEST(Errors, TableListsEveryKindOnce)
{
    std::set<std::string> names;
    for (int i = 0; i < errorKindCount; ++i) {
        const auto& row = errorInfo(static_cast<ErrorKind>(i));
        EXPECT_TRUE(names.insert(row.name).second) << row.name;
        EXPECT_GE(row.httpStatus, 400);
        EXPECT_EQ(errorKind(row.name), row.kind);
    }
    EXPECT_FALSE(errorKind("no-such-kind"));
}

} // namespace marigoldlink::testing
