//go:build !platform_only

package main

import (
	"fmt"
	"net"
	"net/http"
	"net/http/pprof"

	"persimmonwind.dev/server/dev"
)

// serveProfiles serves the runtime's profiles on a loopback address. It does
// nothing if the address is empty.
func serveProfiles(address string) error {
	if address == "" {
		return nil
	}
	if err := dev.CheckLoopback(address); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen for profiles: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/debug/pprof/", pprof.Index)
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	go func() { _ = http.Serve(listener, mux) }()
	return nil
}
