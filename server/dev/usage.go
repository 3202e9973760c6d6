package dev

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"persimmonwind.dev/policy/config"
)

// organisationKey is the organisation key in the usage text. Every example
// configuration has it.
const organisationKey = "dev-key"

// Usage returns a text about how to reach the development system, with commands to
// paste into a shell.
func (s *System) Usage() string {
	var text strings.Builder
	for _, entry := range s.Entries {
		fmt.Fprintf(&text, "ready: entry in data centre %s: callers on http://%s, operators on http://%s\n", entry.DataCentre, entry.Callers, entry.Admin)
	}
	first := s.Entries[0]
	s.writeCallerExamples(&text, first.Callers)
	writeOperatorExamples(&text, first.Admin, s.Entries[len(s.Entries)-1].DataCentre)
	return text.String()
}

func (s *System) writeCallerExamples(text *strings.Builder, address string) {
	for _, model := range slices.Sorted(maps.Keys(s.snapshot.Models)) {
		fmt.Fprintf(text, "A streamed chat:\n  curl -N http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -d '{\"model\":%q,\"stream\":true,\"max_tokens\":32,\"messages\":[{\"role\":\"user\",\"content\":\"Check this tallow recipe.\"}]}'\n", address, organisationKey, model)
	}
	for _, name := range slices.Sorted(maps.Keys(s.snapshot.Services)) {
		for _, operation := range s.snapshot.Services[name].Operations {
			writeCallExample(text, address, name, operation)
		}
	}
}

func writeCallExample(text *strings.Builder, address, service string, operation config.Operation) {
	kind, key := "An idempotent call", ""
	if !operation.Idempotent {
		kind, key = "A call that runs at most once", " -H 'Idempotency-Key: "+service+"-1'"
	}
	fmt.Fprintf(text, "%s:\n  curl http://%s/v1/services/%s/%s -H 'Authorization: Bearer %s'%s -d '{\"batch\":\"lye-1\"}'\n",
		kind, address, service, operation.Name, organisationKey, key)
}

func writeOperatorExamples(text *strings.Builder, address, dataCentre string) {
	fmt.Fprintf(text, "The configuration in force in every process:\n  curl http://%s/admin/v1/status -H 'Authorization: Bearer %s'\n", address, OperatorToken)
	for _, order := range []string{"take-out", "return"} {
		fmt.Fprintf(text, "An operator's order:\n  curl -X POST http://%s/admin/v1/data-centres/%s/%s -H 'Authorization: Bearer %s'\n",
			address, dataCentre, order, OperatorToken)
	}
}
