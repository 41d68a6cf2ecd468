// A generated sequence of random choices that drives a model. Each step consumes the next ones.
#pragma once

#include <cstddef>
#include <rapidcheck.h>
#include <vector>

namespace marigoldlink::testing {

class Choices {
public:
    explicit Choices(std::vector<std::uint16_t> values)
        : m_values(std::move(values))
    {
    }

    bool isOver() const { return m_next >= m_values.size(); }

    // Returns a number below the bound; 0 after the end of the sequence.
    std::size_t below(std::size_t bound) { return bound == 0 || isOver() ? 0 : m_values[m_next++] % bound; }

    template <typename Container> auto& pick(Container& container)
    {
        return *std::next(container.begin(), static_cast<std::ptrdiff_t>(below(container.size())));
    }

    static Choices generate(int least = 0)
    {
        const auto size = *rc::gen::inRange<std::size_t>(static_cast<std::size_t>(least), 600);
        return Choices(*rc::gen::container<std::vector<std::uint16_t>>(size, rc::gen::arbitrary<std::uint16_t>()));
    }

private:
    std::vector<std::uint16_t> m_values;
    std::size_t m_next { 0 };
};

} // namespace marigoldlink::testing
