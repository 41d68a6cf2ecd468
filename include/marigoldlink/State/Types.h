// Strong types for identifiers, time and counts that every layer shares.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>

namespace marigoldlink {

using Duration = std::chrono::milliseconds;

// Monotonic time of one process. Values of two processes must not be compared.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

// A text identifier that does not convert to identifiers of another kind.
template <typename Tag> class Id {
public:
    Id() = default;
    explicit Id(std::string value)
        : m_value(std::move(value))
    {
    }

    const std::string& value() const { return m_value; }
    bool empty() const { return m_value.empty(); }

    friend auto operator<=>(const Id&, const Id&) = default;
    friend std::ostream& operator<<(std::ostream& out, const Id& id) { return out << id.m_value; }

private:
    std::string m_value;
};

using TeamId = Id<struct TeamTag>;
using PoolId = Id<struct PoolTag>;
using QueueId = Id<struct QueueTag>;
using ServiceId = Id<struct ServiceTag>;
using InstanceId = Id<struct InstanceTag>;
using DataCenterId = Id<struct DataCenterTag>;
using RackId = Id<struct RackTag>;
using CustomerId = Id<struct CustomerTag>;
using KeyId = Id<struct KeyTag>;
using RequestId = Id<struct RequestTag>;

// One incarnation of an entry instance. A number is allotted once and never used again.
enum class HolderId : std::uint64_t {};

constexpr std::uint64_t number(HolderId id) { return static_cast<std::uint64_t>(id); }

// A count of tasks or of slots that run one task each.
using Slots = std::int64_t;

// IPv4 address and TCP port, written "a.b.c.d:port".
struct Endpoint {
    std::string address;
    std::uint16_t port { 0 };

    friend auto operator<=>(const Endpoint&, const Endpoint&) = default;
    std::string text() const { return address + ":" + std::to_string(port); }
    // Throws Error(InvalidSettings) when the text is not "a.b.c.d:port".
    static Endpoint parse(const std::string& text);
};

enum class Urgency { Urgent, Normal, Deferrable };
constexpr int urgencyCount = 3;

const char* name(Urgency);

} // namespace marigoldlink

template <typename Tag> struct std::hash<marigoldlink::Id<Tag>> {
    std::size_t operator()(const marigoldlink::Id<Tag>& id) const noexcept
    {
        return std::hash<std::string> {}(id.value());
    }
};
