/// @file
/// Lifetime guard for objects whose asynchronous callbacks may outlive them.
#pragma once

#include <memory>
#include <utility>

namespace violetpulley::async {

/// Owned by an object that starts asynchronous operations. A handler wrapped by `guard` is dropped
/// instead of called once the owner has ended, so a handler may use `this` of the owner safely.
/// Single-threaded: handlers run on the thread that destroys the owner.
class Lifetime {
 public:
  Lifetime() = default;
  Lifetime(const Lifetime&) = delete;
  Lifetime& operator=(const Lifetime&) = delete;

  /// Returns a callable that forwards to `handler` while the owner lives and does nothing
  /// afterwards.
  template <class Handler>
  auto guard(Handler handler) const {
    return [owner = std::weak_ptr<const char>(owner_),
            handler = std::move(handler)](auto&&... arguments) mutable {
      if (owner.expired()) return;
      handler(std::forward<decltype(arguments)>(arguments)...);
    };
  }

  /// Ends the lifetime before the destructor of the owner runs its member destructors.
  void end() { owner_.reset(); }

 private:
  std::shared_ptr<const char> owner_ = std::make_shared<const char>('\0');
};

}  // namespace violetpulley::async
