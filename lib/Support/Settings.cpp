// Settings reader based on toml++.
#include "marigoldlink/Support/Settings.h"

#include <algorithm>
#include <fstream>
#include <set>
#include <sstream>
#include <stdexcept>
#include <toml++/toml.h>

namespace marigoldlink {

struct Settings::Impl {
    std::string fileName;
    toml::table root;
    std::set<std::string, std::less<>> readFields;
    std::vector<std::string> errors;

    const toml::node* find(std::string_view field)
    {
        readFields.emplace(field);
        return root.at_path(field).node();
    }

    void report(const toml::node* node, std::string_view field, const std::string& message)
    {
        const auto line = node ? node->source().begin.line : 0;
        std::ostringstream out;
        out << fileName << ':' << line << ": " << field << ": " << message;
        if (node)
            node->visit([&out](const auto& value) { out << " (found " << value << ')'; });
        errors.push_back(out.str());
    }

    void reportUnknown(const toml::table& table, const std::string& prefix)
    {
        for (const auto& [key, node] : table) {
            const auto field = prefix + std::string(key.str());
            if (const auto* inner = node.as_table())
                reportUnknown(*inner, field + ".");
            else if (!readFields.contains(field))
                report(&node, field, "no such field");
        }
    }
};

Settings::Settings(std::unique_ptr<Impl> impl)
    : m_impl(std::move(impl))
{
}

Settings::Settings(Settings&&) noexcept = default;
Settings::~Settings() = default;

Settings Settings::load(const std::string& fileName)
{
    std::ifstream in(fileName);
    if (!in)
        throw std::runtime_error("cannot read the settings file " + fileName);
    std::ostringstream text;
    text << in.rdbuf();
    return parse(text.str(), fileName);
}

Settings Settings::parse(const std::string& text, const std::string& fileName)
{
    auto impl = std::make_unique<Impl>();
    impl->fileName = fileName;
    try {
        impl->root = toml::parse(text, fileName);
    } catch (const toml::parse_error& error) {
        const auto line = error.source().begin.line;
        throw std::runtime_error(fileName + ":" + std::to_string(line) + ": " + std::string(error.description()));
    }
    return Settings(std::move(impl));
}

std::string Settings::text(std::string_view field)
{
    const auto* node = m_impl->find(field);
    if (!node) {
        m_impl->report(nullptr, field, "the field is required");
        return {};
    }
    const auto value = node->value_exact<std::string>();
    if (!value || value->empty())
        m_impl->report(node, field, "must be a non-empty string");
    return value.value_or("");
}

std::string Settings::text(std::string_view field, std::string fallback)
{
    return m_impl->find(field) ? text(field) : std::move(fallback);
}

std::string Settings::choice(std::string_view field, std::string fallback, const std::vector<std::string>& accepted)
{
    auto value = text(field, std::move(fallback));
    if (std::find(accepted.begin(), accepted.end(), value) != accepted.end())
        return value;
    std::string list;
    for (const auto& item : accepted)
        list += (list.empty() ? "" : ", ") + item;
    reject(field, list);
    return accepted.front();
}

std::int64_t Settings::integer(std::string_view field, std::int64_t fallback, std::int64_t min, std::int64_t max)
{
    const auto* node = m_impl->find(field);
    if (!node)
        return fallback;
    const auto value = node->value_exact<std::int64_t>();
    if (value && *value >= min && *value <= max)
        return *value;
    reject(field, "an integer between " + std::to_string(min) + " and " + std::to_string(max));
    return fallback;
}

bool Settings::boolean(std::string_view field, bool fallback)
{
    const auto* node = m_impl->find(field);
    if (!node)
        return fallback;
    if (const auto value = node->value_exact<bool>())
        return *value;
    reject(field, "true, false");
    return fallback;
}

double Settings::number(std::string_view field, double fallback, double min, double max)
{
    const auto* node = m_impl->find(field);
    if (!node)
        return fallback;
    const auto value = node->value<double>();
    if (value && *value >= min && *value <= max)
        return *value;
    reject(field, "a number between " + std::to_string(min) + " and " + std::to_string(max));
    return fallback;
}

void Settings::reject(std::string_view field, const std::string& accepted)
{
    m_impl->report(m_impl->find(field), field, "accepted: " + accepted);
}

void Settings::finish()
{
    m_impl->reportUnknown(m_impl->root, "");
    if (m_impl->errors.empty())
        return;
    std::string all;
    for (const auto& message : m_impl->errors)
        all += (all.empty() ? "" : "\n") + message;
    throw std::runtime_error(all);
}

} // namespace marigoldlink
