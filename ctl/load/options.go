// Package load sends a drawn workload to a running system: open-loop arrivals
// of streamed chats and plain services' calls, every answer checked by its
// content, latencies counted from the intended start.
package load

import (
	"errors"
	"fmt"
	"net"
	"net/url"
	"time"
)

// ErrNotLoopback means that a target is not on this machine and Remote is not
// set.
var ErrNotLoopback = errors.New("target is not a loopback address")

// Options describe one run.
type Options struct {
	Entries          []string // Base URLs of entries, used in turn.
	Engines          []string // Base URLs of stand-in engines, the baseline of a comparison.
	DirectShare      float64  // Share of chats that go straight to Engines where there are entries too.
	Keys             []string // Organisation keys, drawn evenly.
	AllowRemote      bool     // Allow targets that are not loopback.
	Seed             uint64
	Arrivals         Arrivals
	Duration         time.Duration // During which requests arrive.
	WarmUp           time.Duration // Requests that arrive during it are not counted.
	Timeout          time.Duration // Of one request with its retries.
	Workload         Workload
	MaxRetries       int  // Most repeats of a refused request.
	HonourRetryAfter bool // Wait as Retry-After asks; without it, repeat at once.
	MaxInFlight      int  // Bound of requests at a time; an arrival beyond it is dropped and counted.
	Verify           bool // Check each answer against the stand-ins' content.
}

// DefaultOptions returns the options of a short run against `persimmonwind dev`.
func DefaultOptions() Options {
	return Options{
		Entries:          []string{"http://127.0.0.1:8080"},
		DirectShare:      0.5,
		Keys:             []string{"dev-key"},
		Seed:             1,
		Arrivals:         Arrivals{Shape: Poisson, Rate: 20, SurgeFactor: 3},
		Duration:         10 * time.Second,
		WarmUp:           time.Second,
		Timeout:          30 * time.Second,
		Workload:         DefaultWorkload(),
		HonourRetryAfter: true,
		MaxInFlight:      20000,
		Verify:           true,
	}
}

// Validate returns what is wrong with the options.
func (o Options) Validate() error {
	if len(o.Entries) == 0 && len(o.Engines) == 0 {
		return errors.New("no target: give at least one entry or engine")
	}
	if len(o.Entries) > 0 && len(o.Keys) == 0 {
		return errors.New("no organisation key: entries need at least one")
	}
	if len(o.Entries) == 0 && o.Workload.callShare() > 0 {
		return errors.New("plain services are called through entries: give an entry or set the services' share to 0")
	}
	if o.DirectShare < 0 || o.DirectShare > 1 {
		return fmt.Errorf("share %v of chats straight to the engines is not between 0 and 1", o.DirectShare)
	}
	for _, target := range append(append([]string(nil), o.Entries...), o.Engines...) {
		if err := checkTarget(target, o.AllowRemote); err != nil {
			return err
		}
	}
	if o.Duration <= 0 || o.WarmUp < 0 || o.WarmUp >= o.Duration {
		return fmt.Errorf("warm-up %v must be shorter than the duration %v", o.WarmUp, o.Duration)
	}
	if o.MaxInFlight < 1 || o.MaxRetries < 0 || o.Timeout <= 0 {
		return fmt.Errorf("in-flight bound %d must be at least 1, retries %d at least 0, timeout %v above 0", o.MaxInFlight, o.MaxRetries, o.Timeout)
	}
	return errors.Join(o.Arrivals.validate(), o.Workload.validate())
}

func checkTarget(target string, remote bool) error {
	address, err := url.Parse(target)
	if err != nil || address.Scheme == "" || address.Host == "" {
		return fmt.Errorf("target %q is not a base URL such as http://127.0.0.1:8080", target)
	}
	ip := net.ParseIP(address.Hostname())
	loopback := address.Hostname() == "localhost" || (ip != nil && ip.IsLoopback())
	if !loopback && !remote {
		return fmt.Errorf("target %q: %w", target, ErrNotLoopback)
	}
	return nil
}
