#pragma once

#include "base/iclock.h"
#include "estate/address.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace lycheebay {

/// Reads the fields of one JSON object strictly: each field once, none unknown. After the first
/// fault the other fields keep their values.
class JsonFields
{
public:
    using Json = nlohmann::ordered_json;

    JsonFields(const Json &object, std::string &fault)
        : m_object(object)
        , m_fault(fault)
    {
        if (!object.is_object())
            fail("a value is no object");
    }

    void read(const char *name, std::string &out)
    {
        if (const Json *value = find(name, &Json::is_string))
            out = value->get<std::string>();
    }
    void read(const char *name, bool &out)
    {
        if (const Json *value = find(name, &Json::is_boolean))
            out = value->get<bool>();
    }
    void read(const char *name, std::uint64_t &out)
    {
        if (const Json *value = find(name, &Json::is_number_unsigned))
            out = value->get<std::uint64_t>();
    }
    void read(const char *name, WallTime &out)
    {
        // Times are compared in nanoseconds, which overflow in the year 2262.
        constexpr std::uint64_t kMaxMilliseconds = 7'258'118'400'000;
        std::uint64_t n = 0;
        read(name, n);
        if (n >= kMaxMilliseconds)
            return fail(fmt::format("field \"{}\" is after the year 2199", name));
        out = WallTime(std::chrono::milliseconds(n));
    }
    void read(const char *name, Address &out)
    {
        std::string text;
        read(name, text);
        if (!m_fault.empty())
            return;
        const auto address = parseAddress(text);
        if (address.ok())
            out = *address;
        else
            fail(std::string(address.status().message()));
    }
    /// Reads an array; \a readItem takes the item's JSON and returns its value.
    template <typename T, typename ReadItem>
    void readArray(const char *name, std::vector<T> &out, ReadItem readItem)
    {
        const Json *value = find(name, &Json::is_array);
        if (!value)
            return;
        for (const Json &item : *value)
            out.push_back(readItem(item));
    }
    const Json *readObject(const char *name) { return find(name, &Json::is_object); }

    /// Reports fields that nothing read.
    void finish()
    {
        if (m_fault.empty() && m_read != m_object.size())
            fail("an object has unknown fields");
    }
    void fail(std::string fault)
    {
        if (m_fault.empty())
            m_fault = std::move(fault);
    }

private:
    using TypeCheck = bool (Json::*)() const noexcept;

    const Json *find(const char *name, TypeCheck isType)
    {
        if (!m_fault.empty())
            return nullptr;
        const auto it = m_object.find(name);
        if (it == m_object.end() || !((*it).*isType)()) {
            fail(fmt::format("field \"{}\" is missing or of another type", name));
            return nullptr;
        }
        ++m_read;
        return &*it;
    }

    const Json &m_object;
    std::string &m_fault;
    std::size_t m_read = 0;
};

} // namespace lycheebay
