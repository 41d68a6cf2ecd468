// Validating reader for TOML settings files. Each error names the file, line, field, value and the accepted values.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace marigoldlink {

class Settings {
public:
    // Reads and parses the file. Throws std::runtime_error if it cannot be read or is not valid TOML.
    static Settings load(const std::string& fileName);
    static Settings parse(const std::string& text, const std::string& fileName);

    Settings(Settings&&) noexcept;
    ~Settings();

    // Return the value of a field given by its dotted name, such as "limits.queue". A field without a fallback is
    // required.
    std::string text(std::string_view field);
    std::string text(std::string_view field, std::string fallback);
    std::string choice(std::string_view field, std::string fallback, const std::vector<std::string>& accepted);
    std::int64_t integer(std::string_view field, std::int64_t fallback, std::int64_t min, std::int64_t max);

    bool boolean(std::string_view field, bool fallback);

    // Accepts integers and floating-point numbers.
    double number(std::string_view field, double fallback, double min, double max);

    // Records an error found by the caller in the value of a field.
    void reject(std::string_view field, const std::string& accepted);

    // Throws std::runtime_error that lists all errors, including fields that were never read.
    void finish();

private:
    struct Impl;
    explicit Settings(std::unique_ptr<Impl>);
    std::unique_ptr<Impl> m_impl;
};

} // namespace marigoldlink
