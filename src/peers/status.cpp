#include "peers/status.hpp"

#include <stdexcept>

namespace violetpulley::peers {

std::string encode(const Status& status) {
  msgpack::sbuffer body;
  msgpack::pack(body, status);
  const auto size = static_cast<std::uint32_t>(body.size());
  std::string frame;
  for (int shift = 24; shift >= 0; shift -= 8)
    frame.push_back(static_cast<char>((size >> static_cast<unsigned>(shift)) & 0xFFU));
  frame.append(body.data(), body.size());
  return frame;
}

Status decode(const char* data, std::size_t size) {
  const auto handle = msgpack::unpack(data, size);
  const auto& object = handle.get();
  if (object.type != msgpack::type::ARRAY || object.via.array.size < 1 ||
      object.via.array.ptr[0].as<std::uint32_t>() != kStatusVersion)
    throw std::runtime_error("peer message is not an array that begins with the supported version");
  return object.as<Status>();
}

}  // namespace violetpulley::peers
