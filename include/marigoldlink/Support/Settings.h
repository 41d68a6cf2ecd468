// Checked reading of a TOML settings file: each fault names the file, line, field, value and what is accepted.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace marigoldlink {

class Settings {
public:
    // Reads the file. Throws std::runtime_error when it cannot be read or is not TOML.
    static Settings load(const std::string& fileName);
    static Settings parse(const std::string& text, const std::string& fileName);

    Settings(Settings&&) noexcept;
    ~Settings();

    // Values by dotted field name, such as "limits.queue". Without a fallback the field is required.
    std::string text(std::string_view field);
    std::string text(std::string_view field, std::string fallback);
    std::string choice(std::string_view field, std::string fallback, const std::vector<std::string>& accepted);
    std::int64_t integer(std::string_view field, std::int64_t fallback, std::int64_t low, std::int64_t high);

    bool boolean(std::string_view field, bool fallback);

    // A number that may have a fraction.
    double number(std::string_view field, double fallback, double low, double high);

    // Records a fault of a field that its reader found.
    void reject(std::string_view field, const std::string& accepted);

    // Throws std::runtime_error with every fault found, fields that nobody read among them.
    void finish();

private:
    struct Impl;
    explicit Settings(std::unique_ptr<Impl>);
    std::unique_ptr<Impl> m_impl;
};

} // namespace marigoldlink
