/// @file
/// Lifetime guard for objects that may be destroyed while their asynchronous callbacks are pending.
#pragma once

#include <memory>
#include <utility>

namespace violetpulley::async {

/// Member of an object that starts asynchronous operations. A handler wrapped by `guard` does
/// nothing once the lifetime has ended, so it may safely use the `this` pointer of the owner. Not
/// thread-safe: handlers must run on the thread that destroys the owner.
class Lifetime {
 public:
  Lifetime() = default;
  Lifetime(const Lifetime&) = delete;
  Lifetime& operator=(const Lifetime&) = delete;

  /// Returns a callable that forwards to `handler` until the lifetime ends and does nothing
  /// afterwards.
  template <class Handler>
  auto guard(Handler handler) const {
    return [owner = std::weak_ptr<const char>(owner_),
            handler = std::move(handler)](auto&&... arguments) mutable {
      if (owner.expired()) return;
      handler(std::forward<decltype(arguments)>(arguments)...);
    };
  }

  /// Ends the lifetime now, for owners whose destructor must stop the handlers before members are
  /// destroyed.
  void end() { owner_.reset(); }

 private:
  std::shared_ptr<const char> owner_ = std::make_shared<const char>('\0');
};

}  // namespace violetpulley::async
