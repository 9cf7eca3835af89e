#pragma once

#include "standins/common/httpserver.h"

#include <nlohmann/json.hpp>

#include <string>

namespace lycheebay::standins {

/// A JSON answer with \a status.
HttpResponse jsonResponse(const nlohmann::json &body, int status = 200);
/// {"error": message} with \a status.
HttpResponse errorResponse(int status, const std::string &message);

/// A named number that a control request may set. Booleans count as 0 and 1.
template <class T>
struct NumberField
{
    const char *name;
    double T::*member;
};

/// Sets the field called \a name in \a object when it is one of \a fields and \a value is a number
/// or a boolean; returns whether it did.
template <class T, std::size_t Count>
bool setNumber(T &object, const NumberField<T> (&fields)[Count], const std::string &name,
               const nlohmann::json &value)
{
    if (!value.is_number() && !value.is_boolean())
        return false;
    for (const NumberField<T> &it : fields) {
        if (name != it.name)
            continue;
        object.*it.member = value.is_boolean() ? double(value.get<bool>()) : value.get<double>();
        return true;
    }
    return false;
}

/// Runs \a context until SIGINT or SIGTERM.
void runUntilSignal(asio::io_context &context);

} // namespace lycheebay::standins
