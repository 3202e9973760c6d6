package dev

import (
	"errors"
	"fmt"
	"net"
)

// ErrNotLoopback means that an address is not a loopback address although only
// this machine may connect to it, as with the addresses of the development system.
var ErrNotLoopback = errors.New("only loopback addresses are allowed")

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
