package config

import "fmt"

// groupRank identifies one rank of an expert-parallel group.
type groupRank struct {
	group string
	rank  int
}

func (v *validator) validateBackendServers() {
	seen := map[string]bool{}
	ranks := map[groupRank]string{}
	dataCentres, models, services := v.referenceNames()
	for index, server := range v.backendServers.BackendServers {
		jsonPointer := fmt.Sprintf("/backend_servers/%d", index)
		v.name(FileBackendServers, jsonPointer, "backend server", server.Name, seen)
		v.validateWorkload(jsonPointer, server)
		v.checkReference(jsonPointer+"/data_centre", server.Name, "data centre", server.DataCentre, dataCentres, true)
		v.checkReference(jsonPointer+"/model", server.Name, "model", server.Model, models, false)
		v.checkReference(jsonPointer+"/service", server.Name, "service", server.Service, services, false)
		v.validateLimits(jsonPointer, server)
		v.validateRank(jsonPointer, server, ranks)
	}
}

// referenceNames returns the names that backend servers may refer to.
func (v *validator) referenceNames() (dataCentres, models, services map[string]bool) {
	dataCentres, models, services = map[string]bool{}, map[string]bool{}, map[string]bool{}
	for _, dataCentre := range v.dataCentres.DataCentres {
		dataCentres[dataCentre.Name] = true
	}
	for _, model := range v.work.Models {
		models[model.Name] = true
	}
	for _, service := range v.work.Services {
		services[service.Name] = true
	}
	return dataCentres, models, services
}

func (v *validator) validateWorkload(jsonPointer string, server BackendServer) {
	if (server.Model == "") == (server.Service == "") {
		message := fmt.Sprintf("backend server %q has model %q and service %q", server.Name, server.Model, server.Service)
		v.report(FileBackendServers, jsonPointer, message, "set exactly one of model and service")
	}
}

func (v *validator) checkReference(jsonPointer, server, kind, name string, names map[string]bool, required bool) {
	if names[name] || (name == "" && !required) {
		return
	}
	message := fmt.Sprintf("backend server %q names %s %q, which does not exist", server, kind, name)
	v.report(FileBackendServers, jsonPointer, message, fmt.Sprintf("name an existing %s, or add it in the same apply", kind))
}

func (v *validator) validateLimits(jsonPointer string, server BackendServer) {
	v.checkRange(FileBackendServers, jsonPointer+"/full_limit", float64(server.FullLimit), 1, maxLimit, " requests at a time")
	if server.FullLimit < 1 || server.FullLimit > maxLimit {
		return
	}
	v.checkRange(FileBackendServers, jsonPointer+"/cold_limit", float64(server.ColdLimit), 1, float64(server.FullLimit), " requests at a time, at most full_limit")
}

func (v *validator) validateRank(jsonPointer string, server BackendServer, ranks map[groupRank]string) {
	if server.Group == "" {
		if server.Rank != 0 {
			v.report(FileBackendServers, jsonPointer+"/rank", fmt.Sprintf("backend server %q has a rank but no group", server.Name), "set group, or remove rank")
		}
		return
	}
	if server.Model == "" {
		v.report(FileBackendServers, jsonPointer+"/group", fmt.Sprintf("backend server %q has a group but is not a model engine", server.Name), "remove group")
	}
	v.checkRange(FileBackendServers, jsonPointer+"/rank", float64(server.Rank), 0, maxRank, "")
	key := groupRank{server.Group, server.Rank}
	if other, ok := ranks[key]; ok {
		v.report(FileBackendServers, jsonPointer+"/rank", fmt.Sprintf("backend server %q already has rank %d of group %q", other, server.Rank, server.Group), "give each backend server its own rank")
	}
	ranks[key] = server.Name
}
