// Strong types for identifiers, times and counts, shared by all layers.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>

namespace marigoldlink {

using Duration = std::chrono::milliseconds;

// Monotonic time of one process. Values of different processes are not comparable.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

// A string identifier that does not convert to an identifier of another kind.
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

// One incarnation of an entry instance. Numbers are never reused.
enum class HolderId : std::uint64_t {};

constexpr std::uint64_t number(HolderId id) { return static_cast<std::uint64_t>(id); }

// A number of tasks, or of slots that run one task each.
using Slots = std::int64_t;

// IPv4 address and TCP port. The text form is "a.b.c.d:port".
struct Endpoint {
    std::string address;
    std::uint16_t port { 0 };

    friend auto operator<=>(const Endpoint&, const Endpoint&) = default;
    std::string text() const { return address + ":" + std::to_string(port); }
    // Throws Error(InvalidSettings) if the text is not of the form "a.b.c.d:port".
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
