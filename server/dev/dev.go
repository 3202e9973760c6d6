// Package dev runs a whole system in one process: entries, agents, and the
// stand-ins of the platform and the backend servers, on loopback.
package dev

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/oklog/run"
	"github.com/sirupsen/logrus"

	"persimmonwind.dev/policy/config"
	"persimmonwind.dev/server/configstore"
	"persimmonwind.dev/server/keys"
	"persimmonwind.dev/server/standin/engine"
	"persimmonwind.dev/server/standin/service"
	"persimmonwind.dev/server/standin/store"
)

const (
	loopbackAnyPort = "127.0.0.1:0"
	serviceWorkTime = 20 * time.Millisecond
)

// Options configure the development system.
type Options struct {
	Listen    string // host:port for callers.
	Admin     string // host:port for operators.
	ConfigDir string // Directory of configuration files; empty for the embedded ones.
	Log       *logrus.Entry

	// EngineColdLimit is the number of concurrent generations that the stand-in
	// engines withstand in cold start; 0 for the configured limit.
	EngineColdLimit int
}

// System is a whole development system in one process, with entries, agents and
// stand-ins.
type System struct {
	Store   *store.Store
	Entries []Entry
	Engines map[string]*engine.Engine   // Stand-in engines, by backend server.
	Service map[string]*service.Service // Stand-in plain services, by backend server.

	snapshot *config.Snapshot
	storeURL string
	keys     keys.Source
	group    run.Group
	options  Options
}

// New builds the system and binds its sockets.
func New(options Options) (*System, error) {
	s := &System{
		Store: store.New(), options: options,
		Engines: map[string]*engine.Engine{}, Service: map[string]*service.Service{},
	}
	files, err := ReadFiles(options.ConfigDir)
	if err != nil {
		return nil, err
	}
	if s.snapshot, err = config.Build(1, files); err != nil {
		return nil, err
	}
	if s.keys, err = newKeySource(); err != nil {
		return nil, err
	}
	if s.storeURL, err = s.serveHTTP(s.Store.Handler()); err != nil {
		return nil, err
	}
	if err := s.applyFiles(files); err != nil {
		return nil, err
	}
	for _, server := range sortedServers(s.snapshot) {
		if err := s.addBackend(server); err != nil {
			return nil, err
		}
	}
	return s, s.addEntries()
}

func newKeySource() (keys.Source, error) {
	generated, err := keys.Generate()
	if err != nil {
		return nil, err
	}
	current, err := generated.Keys()
	return keys.StaticSource{Keys: current}, err
}

// Run runs the system until ctx ends.
func (s *System) Run(ctx context.Context) error {
	lifetime, stop := context.WithCancel(ctx)
	s.group.Add(func() error { <-lifetime.Done(); return nil }, func(error) { stop() })
	return s.group.Run()
}

// serveHTTP serves the handler on a free loopback port and returns its URL.
func (s *System) serveHTTP(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", loopbackAnyPort)
	if err != nil {
		return "", fmt.Errorf("listen on loopback: %w", err)
	}
	server := &http.Server{Handler: handler}
	s.group.Add(func() error { return server.Serve(listener) }, func(error) { _ = server.Close() })
	return "http://" + listener.Addr().String(), nil
}

func (s *System) applyFiles(files config.Files) error {
	configs := configstore.Store{Table: s.Store, Objects: s.Store.ObjectStore()}
	_, err := configs.Apply(context.Background(), files)
	return err
}

func (s *System) addProcess(runProcess func(context.Context) error) {
	lifetime, stop := context.WithCancel(context.Background())
	s.group.Add(func() error { return runProcess(lifetime) }, func(error) { stop() })
}
