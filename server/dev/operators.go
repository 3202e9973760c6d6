package dev

import (
	"persimmonwind.dev/policy/config"
	"persimmonwind.dev/server/admin/adminapi"
)

// OperatorToken is the token of the one operator of the development system.
const OperatorToken = "dev-operator"

func operators() []adminapi.Operator {
	return []adminapi.Operator{{
		Name: "dev", TokenSHA256: config.Digest([]byte(OperatorToken)), Role: adminapi.RoleAdministrator,
	}}
}
