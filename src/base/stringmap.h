#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

namespace lycheebay {

/// Hash that lets string containers be searched by string_view without a copy.
struct StringHash
{
    using is_transparent = void;

    std::size_t operator()(std::string_view text) const
    {
        return std::hash<std::string_view>{}(text);
    }
};

template <typename Value>
using StringMap = std::unordered_map<std::string, Value, StringHash, std::equal_to<>>;
using StringSet = std::unordered_set<std::string, StringHash, std::equal_to<>>;

} // namespace lycheebay
