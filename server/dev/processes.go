package dev

import (
	"fmt"
	"net"
	"net/http"

	"persimmonwind.dev/policy/config"
	"persimmonwind.dev/server/agent"
	"persimmonwind.dev/server/entry"
	"persimmonwind.dev/server/ports"
	"persimmonwind.dev/server/settings"
	"persimmonwind.dev/server/standin/engine"
	"persimmonwind.dev/server/standin/service"
)

func (s *System) addBackend(server config.BackendServer) error {
	handler, kind := s.newStandIn(server)
	url, err := s.serveHTTP(handler)
	if err != nil {
		return err
	}
	controlListener, err := net.Listen("tcp", loopbackAnyPort)
	if err != nil {
		return fmt.Errorf("listen for agent of %q: %w", server.Name, err)
	}
	traffic, err := net.Listen("tcp", loopbackAnyPort)
	if err != nil {
		return fmt.Errorf("listen for agent of %q: %w", server.Name, err)
	}
	id := "agent-" + server.Name
	s.Store.SetInstance(ports.Instance{
		ID: id, Role: ports.RoleAgent, DataCentre: server.DataCentre, BackendServer: server.Name,
		Control: controlListener.Addr().String(), Traffic: traffic.Addr().String(),
	})
	health, err := net.Listen("tcp", loopbackAnyPort)
	if err != nil {
		return fmt.Errorf("listen for agent of %q: %w", server.Name, err)
	}
	process := settings.Process{ID: id, DataCentre: server.DataCentre, Store: s.storeURL}
	a := agent.New(
		settings.Agent{Process: process, BackendServer: server.Name, Kind: kind, Backend: url},
		agent.Listeners{Control: controlListener, Traffic: traffic, Health: health, Keys: s.keys},
		s.options.Log.WithField("process", id),
	)
	s.addProcess(a.Run)
	return nil
}

func (s *System) newStandIn(server config.BackendServer) (http.Handler, string) {
	if server.Service != "" {
		standIn := service.New(serviceWorkTime)
		s.Service[server.Name] = standIn
		return standIn.Handler(), settings.KindService
	}
	options := engine.DefaultOptions()
	options.FullLimit, options.ColdLimit = server.FullLimit, server.ColdLimit
	if s.options.EngineColdLimit > 0 {
		options.ColdLimit = s.options.EngineColdLimit
	}
	standIn := engine.New(options)
	s.Engines[server.Name] = standIn
	return standIn.Handler(), settings.KindEngine
}

// Entry is one entry instance of the development system with its addresses.
type Entry struct {
	*entry.Entry
	DataCentre string
	Callers    string // host:port for callers.
	Admin      string // host:port for operators.
}

// addEntries adds an entry in each data centre; the first one listens on the
// addresses of the options.
func (s *System) addEntries() error {
	listen, admin := s.options.Listen, s.options.Admin
	for index, dataCentre := range sortedDataCentres(s.snapshot) {
		if err := s.addEntry(fmt.Sprintf("entry-%d", index+1), dataCentre, listen, admin); err != nil {
			return err
		}
		listen, admin = loopbackAnyPort, loopbackAnyPort
	}
	return nil
}

func (s *System) addEntry(id, dataCentre, listen, admin string) error {
	listeners, err := listenEntry(listen, admin)
	if err != nil {
		return err
	}
	listeners.Keys = s.keys
	s.Store.SetInstance(ports.Instance{
		ID: id, Role: ports.RoleEntry, DataCentre: dataCentre,
		Control: listeners.Control.Addr().String(), Traffic: listeners.Callers.Addr().String(),
	})
	process := settings.Process{ID: id, DataCentre: dataCentre, Store: s.storeURL}
	newEntry := Entry{
		Entry:      entry.New(settings.Entry{Process: process, Operators: operators()}, listeners, s.options.Log.WithField("process", id)),
		DataCentre: dataCentre,
		Callers:    listeners.Callers.Addr().String(),
		Admin:      listeners.Admin.Addr().String(),
	}
	s.Entries = append(s.Entries, newEntry)
	s.addProcess(newEntry.Run)
	return nil
}

func listenEntry(listen, adminAddress string) (entry.Listeners, error) {
	control, err := net.Listen("tcp", loopbackAnyPort)
	if err != nil {
		return entry.Listeners{}, fmt.Errorf("listen for peers: %w", err)
	}
	callers, err := net.Listen("tcp", listen)
	if err != nil {
		return entry.Listeners{}, fmt.Errorf("listen for callers: %w", err)
	}
	admin, err := net.Listen("tcp", adminAddress)
	if err != nil {
		return entry.Listeners{}, fmt.Errorf("listen for operators: %w", err)
	}
	return entry.Listeners{Control: control, Callers: callers, Admin: admin}, nil
}
