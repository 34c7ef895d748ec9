#include "agent/report_head.hpp"

#include <rapidjson/reader.h>

namespace violetpulley::agent {

namespace {

// Takes two fields of the outermost object and stops the reader when it has both.
class HeadReader : public rapidjson::BaseReaderHandler<rapidjson::UTF8<>, HeadReader> {
 public:
  bool Key(const char* text, rapidjson::SizeType size, bool) {
    field_ = depth_ == 1 ? std::string_view(text, size) == "rig"     ? Field::machine
                           : std::string_view(text, size) == "baton" ? Field::token
                                                                     : Field::other
                         : Field::other;
    return true;
  }
  bool String(const char* text, rapidjson::SizeType size, bool) {
    if (take(Field::machine)) machine = core::MachineId(text, size);
    return more();
  }
  bool Uint(unsigned value) { return Uint64(value); }
  bool Uint64(std::uint64_t value) {
    if (take(Field::token)) token = value;
    return more();
  }
  bool Default() {
    take(field_);
    return true;
  }
  bool StartObject() { return down(); }
  bool EndObject(rapidjson::SizeType) { return up(); }
  bool StartArray() { return down(); }
  bool EndArray(rapidjson::SizeType) { return up(); }

  std::optional<core::MachineId> machine;
  std::optional<core::Token> token;

 private:
  enum class Field { other, machine, token };
  bool take(Field field) {
    const bool is = field_ == field && depth_ == 1;
    if (depth_ == 1) field_ = Field::other;
    return is;
  }
  bool more() const { return !machine || !token; }
  bool down() {
    ++depth_;
    return true;
  }
  bool up() {
    --depth_;
    return true;
  }
  Field field_ = Field::other;
  int depth_ = 0;
};

}  // namespace

std::optional<ReportHead> read_head(const std::string& body) {
  HeadReader handler;
  rapidjson::Reader reader;
  rapidjson::StringStream stream(body.c_str());
  reader.Parse(stream, handler);
  if (!handler.machine || handler.machine->empty() || !handler.token) return std::nullopt;
  return ReportHead{std::move(*handler.machine), *handler.token};
}

}  // namespace violetpulley::agent
