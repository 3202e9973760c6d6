package config

import (
	"fmt"
	"regexp"
	"strconv"

	"persimmonwind.dev/policy/jsonfile"
)

const (
	maxLimit       = 100_000    // Largest full_limit and cold_limit of a backend server.
	maxConcurrency = 10_000_000 // Largest concurrency of an organisation.
	maxPriority    = 9
	maxRank        = 1023
	minTimeoutMS   = 50
	maxTimeoutMS   = 3_600_000
	maxWeight      = 1e6
	maxRequestRate = 1e9
)

var (
	namePattern   = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$`)
	digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

const nameRule = "use up to 128 letters, digits, dots, dashes and underscores, starting with a letter or digit"

// validator checks the values in each decoded file and the references between files.
type validator struct {
	*decodedFiles
	problems jsonfile.Problems
}

func (p *decodedFiles) validate() jsonfile.Problems {
	v := &validator{decodedFiles: p}
	v.validateDataCentres()
	v.validateWork()
	v.validateBackendServers()
	v.validateOrganisations()
	return v.problems
}

// report adds a problem at the value in the file that the JSON pointer refers to.
func (v *validator) report(file, jsonPointer, message, hint string) {
	v.problems = append(v.problems, v.documents[file].Problem(jsonPointer, message, hint))
}

// name checks the form of one name and that it is not in seen.
func (v *validator) name(file, jsonPointer, kind, name string, seen map[string]bool) {
	switch {
	case !namePattern.MatchString(name):
		v.report(file, jsonPointer+"/name", fmt.Sprintf("%s has the name %q", kind, name), nameRule)
	case seen[name]:
		v.report(file, jsonPointer+"/name", fmt.Sprintf("%s %q is listed twice", kind, name), "give each its own name")
	}
	seen[name] = true
}

// checkRange checks that the value is at least minimum and at most maximum.
func (v *validator) checkRange(file, jsonPointer string, value, minimum, maximum float64, unit string) {
	if value >= minimum && value <= maximum {
		return
	}
	message := fmt.Sprintf("the value %s is out of bounds", decimal(value))
	v.report(file, jsonPointer, message, fmt.Sprintf("write %s to %s%s", decimal(minimum), decimal(maximum), unit))
}

func decimal(value float64) string { return strconv.FormatFloat(value, 'f', -1, 64) }

func (v *validator) validateDataCentres() {
	seen := map[string]bool{}
	for index, dataCentre := range v.dataCentres.DataCentres {
		jsonPointer := fmt.Sprintf("/data_centres/%d", index)
		v.name(FileDataCentres, jsonPointer, "data centre", dataCentre.Name, seen)
		if !namePattern.MatchString(dataCentre.Region) {
			v.report(FileDataCentres, jsonPointer+"/region", fmt.Sprintf("data centre %q has the region %q", dataCentre.Name, dataCentre.Region), nameRule)
		}
	}
}

func (v *validator) validateWork() {
	models := map[string]bool{}
	for index, model := range v.work.Models {
		jsonPointer := fmt.Sprintf("/models/%d", index)
		v.name(FileWork, jsonPointer, "model", model.Name, models)
		v.validateAdapters(jsonPointer, model)
	}
	services := map[string]bool{}
	for index, service := range v.work.Services {
		jsonPointer := fmt.Sprintf("/services/%d", index)
		v.name(FileWork, jsonPointer, "service", service.Name, services)
		v.validateOperations(jsonPointer, service)
	}
}

func (v *validator) validateAdapters(jsonPointer string, model Model) {
	seen := map[string]bool{}
	for index, adapter := range model.Adapters {
		adapterPointer := fmt.Sprintf("%s/adapters/%d", jsonPointer, index)
		if !namePattern.MatchString(adapter) {
			v.report(FileWork, adapterPointer, fmt.Sprintf("model %q has an adapter named %q", model.Name, adapter), nameRule)
		}
		if seen[adapter] {
			v.report(FileWork, adapterPointer, fmt.Sprintf("adapter %q is listed twice", adapter), "remove one of them")
		}
		seen[adapter] = true
	}
}

func (v *validator) validateOperations(jsonPointer string, service Service) {
	seen := map[string]bool{}
	for index, operation := range service.Operations {
		operationPointer := fmt.Sprintf("%s/operations/%d", jsonPointer, index)
		v.name(FileWork, operationPointer, "operation", operation.Name, seen)
		v.checkRange(FileWork, operationPointer+"/timeout_ms", float64(operation.TimeoutMS), minTimeoutMS, maxTimeoutMS, " milliseconds")
	}
}

func (v *validator) validateOrganisations() {
	seen := map[string]bool{}
	owners := map[string]string{}
	for index, organisation := range v.organisations.Organisations {
		jsonPointer := fmt.Sprintf("/organisations/%d", index)
		v.name(FileOrganisations, jsonPointer, "organisation", organisation.Name, seen)
		v.validateKeys(jsonPointer, organisation, owners)
		if organisation.Weight <= 0 || organisation.Weight > maxWeight {
			v.report(FileOrganisations, jsonPointer+"/weight", fmt.Sprintf("organisation %q has the weight %v", organisation.Name, organisation.Weight), "write a number above 0, at most 1000000")
		}
		v.checkRange(FileOrganisations, jsonPointer+"/requests_per_second", organisation.RequestsPerSecond, 0, maxRequestRate, " requests a second")
		v.checkRange(FileOrganisations, jsonPointer+"/concurrency", float64(organisation.Concurrency), 0, maxConcurrency, " requests at a time")
		v.checkRange(FileOrganisations, jsonPointer+"/priority", float64(organisation.Priority), 0, maxPriority, ", 0 the highest")
	}
}

func (v *validator) validateKeys(jsonPointer string, organisation Organisation, owners map[string]string) {
	for index, digest := range organisation.KeySHA256 {
		keyPointer := fmt.Sprintf("%s/key_sha256/%d", jsonPointer, index)
		if !digestPattern.MatchString(digest) {
			v.report(FileOrganisations, keyPointer, fmt.Sprintf("organisation %q has a malformed key digest", organisation.Name), "write the SHA-256 of the key as 64 lower-case hex digits")
			continue
		}
		if owner, ok := owners[digest]; ok {
			v.report(FileOrganisations, keyPointer, fmt.Sprintf("the key already belongs to organisation %q", owner), "give each organisation its own key")
		}
		owners[digest] = organisation.Name
	}
}
