// The statements and schema versions that are active at this gateway, and the preparation key of each
// statement: what an endpoint has to have prepared to execute it. PreparedStatements updates it,
// StatementPreparation reads it.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "cluster/agreement/hash.h"
#include "cluster/statements/statement_catalog.h"

namespace linnetlead::statements {

class ActiveCatalog {
public:
    // Null if no statement has the name.
    const Statement* find(const std::string& name) const {
        const auto at = statements_.find(name);
        return at == statements_.end() ? nullptr : &at->second;
    }
    const std::map<std::string, Statement>& statements() const { return statements_; }
    const Schemas& schemas() const { return schemas_; }
    // The preparation key of each statement, by name.
    const std::map<std::string, std::uint64_t>& keys() const { return keys_; }

    void set_statements(std::map<std::string, Statement> statements) {
        statements_ = std::move(statements);
        update_keys();
    }
    void set_schemas(Schemas schemas) {
        schemas_ = std::move(schemas);
        update_keys();
    }
    // A hash of all names and keys: gateways with the same hash have the same keys in the same order.
    std::uint32_t keys_hash() const {
        std::string all;
        for (const auto& [name, key] : keys_) all += name + '=' + std::to_string(key) + '\n';
        return agreement::short_hash(agreement::hash_of(all));
    }

private:
    void update_keys() {
        keys_.clear();
        for (const auto& [name, statement] : statements_) keys_[name] = preparation_key(statement, schemas_);
    }

    std::map<std::string, Statement> statements_;
    Schemas schemas_;
    std::map<std::string, std::uint64_t> keys_;
};

}  // namespace linnetlead::statements
