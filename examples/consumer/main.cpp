// SPDX-License-Identifier: MIT
// The smallest proxy: one cache, one origin, one request.
#include <dahliahall/choice.h>

#include <iostream>

int main() {
  using namespace std::chrono_literals;
  dahliahall::Settings settings;
  settings.routers_by_zone = {1};
  settings.origin_kind = 1;
  settings.max_attempts = 4;
  settings.transfer_kb_per_s = 5000;
  dahliahall::RequestClass pages;
  pages.latency_objective = 300ms;
  pages.deadline = 2s;
  settings.classes = {pages};
  dahliahall::Router router(settings, 1);

  dahliahall::Endpoint cache, origin;
  cache.id = "cache:80";
  origin.id = "origin:80";
  origin.kind = 1;
  router.handle(1s, dahliahall::EndpointList{dahliahall::ListKind::complete, {cache, origin}});

  dahliahall::Request request;
  request.id = "first";
  request.object = 42;
  request.size_kb = 100;
  request.expires = 3s;
  for (const dahliahall::Action& action : router.handle(1s, request)) {
    if (const auto* attempt = std::get_if<dahliahall::Attempt>(&action)) {
      std::cout << "ask " << attempt->endpoint << ", fill from " << attempt->source << '\n';
      return 0;
    }
  }
  return 1;
}
