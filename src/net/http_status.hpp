/// @file
/// HTTP status codes that the clients in this program distinguish.
#pragma once

namespace violetpulley::net {

inline constexpr int kStatusOk = 200;
inline constexpr int kStatusNotFound = 404;
inline constexpr int kStatusConflict = 409;
inline constexpr int kStatusGone = 410;
inline constexpr int kStatusTooManyRequests = 429;
inline constexpr int kStatusUnavailable = 503;

}  // namespace violetpulley::net
