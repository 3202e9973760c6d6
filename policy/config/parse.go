package config

import (
	"crypto/sha256"
	"encoding/hex"

	"persimmonwind.dev/policy/jsonfile"
)

// Files maps a configuration file's name to its text, JSON with comments.
type Files map[string][]byte

type dataCentresFile struct {
	DataCentres []DataCentre `json:"data_centres"`
}

type backendServersFile struct {
	BackendServers []BackendServer `json:"backend_servers"`
}

type organisationsFile struct {
	Organisations []Organisation `json:"organisations"`
}

type workFile struct {
	Models   []Model   `json:"models"`
	Services []Service `json:"services"`
}

// decodedFiles holds the decoded configuration files.
type decodedFiles struct {
	documents      map[string]*jsonfile.Document // Parsed texts by file name, which give the positions of problems.
	dataCentres    dataCentresFile
	backendServers backendServersFile
	organisations  organisationsFile
	work           workFile
}

func (p *decodedFiles) target(file string) any {
	switch file {
	case FileDataCentres:
		return &p.dataCentres
	case FileBackendServers:
		return &p.backendServers
	case FileOrganisations:
		return &p.organisations
	case FileWork:
		return &p.work
	}
	return nil
}

// KnownFile reports whether file is the name of a configuration file.
func KnownFile(file string) bool { return new(decodedFiles).target(file) != nil }

// Digest returns the hex SHA-256 of a file's text.
func Digest(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}

// Build parses and validates all files and returns the snapshot of a revision whose
// files are all new. The error is of type jsonfile.Problems.
func Build(revision uint64, files Files) (*Snapshot, error) {
	versions := map[string]FileVersion{}
	for name, text := range files {
		versions[name] = FileVersion{Revision: revision, Digest: Digest(text)}
	}
	return BuildVersions(revision, versions, files)
}

// BuildVersions parses and validates all files and returns the snapshot of a
// revision. versions says which revision introduced each file. The error is of type
// jsonfile.Problems.
func BuildVersions(revision uint64, versions map[string]FileVersion, files Files) (*Snapshot, error) {
	p, problems := parse(files)
	if len(problems) == 0 {
		problems = p.validate()
	}
	if err := problems.Err(); err != nil {
		return nil, err
	}
	snapshot := p.snapshot()
	snapshot.Revision = revision
	snapshot.Versions = versions
	snapshot.Files = files
	return snapshot, nil
}

func parse(files Files) (*decodedFiles, jsonfile.Problems) {
	p := &decodedFiles{documents: map[string]*jsonfile.Document{}}
	var problems jsonfile.Problems
	for name := range files {
		if !KnownFile(name) {
			problems = append(problems, jsonfile.Problem{
				File: name, Message: "no configuration file has this name",
				Hint: "use data_centres, work, backend_servers or organisations",
			})
		}
	}
	for _, name := range FileNames {
		text, ok := files[name]
		if !ok {
			continue
		}
		if err := p.decode(name, text); err != nil {
			problems = append(problems, err...)
		}
	}
	return p, problems
}

func (p *decodedFiles) decode(name string, text []byte) jsonfile.Problems {
	document, err := jsonfile.Parse(name, text)
	if err == nil {
		p.documents[name] = document
		err = document.Decode(p.target(name))
	}
	if err == nil {
		return nil
	}
	return err.(jsonfile.Problems)
}

func (p *decodedFiles) snapshot() *Snapshot {
	snapshot := &Snapshot{
		DataCentres:       make(map[string]DataCentre, len(p.dataCentres.DataCentres)),
		BackendServers:    make(map[string]BackendServer, len(p.backendServers.BackendServers)),
		Organisations:     make(map[string]Organisation, len(p.organisations.Organisations)),
		Models:            map[string]Model{},
		Services:          map[string]Service{},
		organisationByKey: map[string]string{},
	}
	for _, dataCentre := range p.dataCentres.DataCentres {
		snapshot.DataCentres[dataCentre.Name] = dataCentre
	}
	for _, model := range p.work.Models {
		snapshot.Models[model.Name] = model
	}
	for _, service := range p.work.Services {
		snapshot.Services[service.Name] = service
	}
	for _, server := range p.backendServers.BackendServers {
		snapshot.BackendServers[server.Name] = server
	}
	for _, organisation := range p.organisations.Organisations {
		snapshot.Organisations[organisation.Name] = organisation
		for _, hash := range organisation.KeySHA256 {
			snapshot.organisationByKey[hash] = organisation.Name
		}
	}
	return snapshot
}
