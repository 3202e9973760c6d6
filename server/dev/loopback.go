package dev

import (
	"errors"
	"fmt"
	"net"
)

// ErrNotLoopback means that an address of the development system is reachable
// from other machines.
var ErrNotLoopback = errors.New("the development system listens on loopback only")

// CheckLoopback returns ErrNotLoopback if the address is not loopback.
func CheckLoopback(address string) error {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return fmt.Errorf("address %q: %w", address, err)
	}
	ip := net.ParseIP(host)
	if host != "localhost" && (ip == nil || !ip.IsLoopback()) {
		return fmt.Errorf("address %q: %w", address, ErrNotLoopback)
	}
	return nil
}
