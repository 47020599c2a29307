// The operators' document as keyed resources, and resources as a document: what a relay's fleet distributes
// one by one is read by the same readers as a file. Accounts' terms are metering::tenant_resources(). No I/O.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "cluster/distribution/change.h"
#include "config/operator_config/document.h"

namespace linnetlead::operator_config {

// By key, KIND/NAME. A value is canonical: JSON with sorted names, without blanks, whole numbers as such.
using Resources = std::map<std::string, std::string>;

// The pools, plans, moves, reserves, routes and the capacity of a checked document. A pool's place in the
// file goes along as its "rank", since an endpoint belongs to the first pool that names it.
Resources resources_of(const Value& document);
// The document that declares these; schema and readers check it like a file. Where a value is none of its
// kind, or the schema forbids it, a Problem whose file is the key.
Result document_of(const Resources& resources);

// What is wrong with one resource by itself, in words; empty: nothing. Of tenants: nothing is looked at.
std::string check_resource(std::string_view key, const std::string& value);
// Nothing where it is no JSON.
std::optional<std::string> canonical(const std::string& value);

// What makes `after` of `before`, by key.
std::vector<distribution::Edit> difference(const Resources& before, const Resources& after);

}  // namespace linnetlead::operator_config
