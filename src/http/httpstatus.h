#pragma once

namespace lycheebay::httpstatus {

/// Status codes of RFC 9110 and RFC 6585, as HttpResponse holds them.
inline constexpr int kOk = 200;
inline constexpr int kBadRequest = 400;
inline constexpr int kNotFound = 404;
inline constexpr int kRequestTimeout = 408;
inline constexpr int kConflict = 409;
inline constexpr int kGone = 410;
inline constexpr int kPreconditionFailed = 412;
inline constexpr int kContentTooLarge = 413;
inline constexpr int kMisdirected = 421;
inline constexpr int kTooManyRequests = 429;
inline constexpr int kHeadTooLarge = 431;
inline constexpr int kBadGateway = 502;
inline constexpr int kUnavailable = 503;
inline constexpr int kGatewayTimeout = 504;
inline constexpr int kInsufficientStorage = 507;

/// The first status of the classes of errors.
inline constexpr int kFirstError = 400;
inline constexpr int kFirstServerError = 500;

} // namespace lycheebay::httpstatus
