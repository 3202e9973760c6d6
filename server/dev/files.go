package dev

import (
	"embed"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"sort"

	"persimmonwind.dev/policy/config"
)

//go:embed config/*.jsonc
var embeddedFiles embed.FS

// ReadFiles reads the configuration files of a directory, or the embedded ones if
// dir is empty.
func ReadFiles(dir string) (config.Files, error) {
	files := config.Files{}
	for _, name := range config.FileNames {
		body, err := readFile(dir, name+".jsonc")
		if err != nil {
			return nil, fmt.Errorf("read configuration file %q: %w", name, err)
		}
		files[name] = body
	}
	return files, nil
}

func readFile(dir, name string) ([]byte, error) {
	if dir == "" {
		return embeddedFiles.ReadFile("config/" + name)
	}
	return os.ReadFile(filepath.Join(dir, name))
}

func sortedServers(snapshot *config.Snapshot) []config.BackendServer {
	servers := make([]config.BackendServer, 0, len(snapshot.BackendServers))
	for _, server := range snapshot.BackendServers {
		servers = append(servers, server)
	}
	sort.Slice(servers, func(i, j int) bool { return servers[i].Name < servers[j].Name })
	return servers
}

func sortedDataCentres(snapshot *config.Snapshot) []string {
	return slices.Sorted(maps.Keys(snapshot.DataCentres))
}
