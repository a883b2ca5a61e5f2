#include "Magnoliad/Node.h"

#include "Magnoliad/NodeImpl.h"

namespace magnolia::daemon {

absl::StatusOr<std::unique_ptr<node>> node::create(const settings &Settings) {
  auto Impl = std::make_unique<impl>(Settings);
  absl::Status Started = Impl->start();
  if (!Started.ok())
    return Started;
  return std::unique_ptr<node>(new node(std::move(Impl)));
}

node::node(std::unique_ptr<impl> NewImpl) : Impl(std::move(NewImpl)) {}
node::~node() = default;

std::string node::portLines() const { return Impl->portLines(); }
void node::stop() { Impl->stop(); }

} // namespace magnolia::daemon
