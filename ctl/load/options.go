// Package load sends a randomly generated workload of streamed chats and calls
// of plain services to a running system. Arrivals are open-loop, the content of
// every answer is verified, and latencies are measured from the intended start
// of a request.
package load

import (
	"errors"
	"fmt"
	"net"
	"net/url"
	"time"
)

// ErrNotLoopback means that a target is not on this machine and AllowRemote is
// not set.
var ErrNotLoopback = errors.New("target is not a loopback address")

// Options configures one run.
type Options struct {
	Entries          []string // Base URLs of entries, used in round-robin order.
	Engines          []string // Base URLs of stand-in engines, which get a part of the chats directly as the baseline.
	DirectShare      float64  // Fraction of the chats, from 0 to 1, sent directly to Engines if Entries is set too.
	Keys             []string // Organisation keys, chosen uniformly at random.
	AllowRemote      bool     // Allow targets that are not loopback addresses.
	Seed             uint64
	Arrivals         Arrivals
	Duration         time.Duration // Time during which requests arrive.
	WarmUp           time.Duration // Initial part of Duration; requests that arrive in it are not counted.
	Timeout          time.Duration // Limit for one request including its retries.
	Workload         Workload
	MaxRetries       int  // Maximum number of retries of a refused request.
	HonourRetryAfter bool // Wait for the Retry-After time before a retry; if unset, retry at once.
	MaxInFlight      int  // Maximum number of concurrent requests; arrivals beyond it are counted as dropped.
	Verify           bool // Compare each answer with the one expected from the stand-in engine or service.
}

// DefaultOptions returns options for a short run against `persimmonwind dev`.
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

// Validate returns an error if the options are invalid.
func (o Options) Validate() error {
	if len(o.Entries) == 0 && len(o.Engines) == 0 {
		return errors.New("no target: at least one entry or engine is required")
	}
	if len(o.Entries) > 0 && len(o.Keys) == 0 {
		return errors.New("no organisation key: at least one is required for requests to entries")
	}
	if len(o.Entries) == 0 && o.Workload.callShare() > 0 {
		return errors.New("plain services are called only through entries: set an entry or a call share of 0")
	}
	if o.DirectShare < 0 || o.DirectShare > 1 {
		return fmt.Errorf("share %v of chats sent directly to the engines is not between 0 and 1", o.DirectShare)
	}
	for _, target := range append(append([]string(nil), o.Entries...), o.Engines...) {
		if err := checkTarget(target, o.AllowRemote); err != nil {
			return err
		}
	}
	if o.Duration <= 0 || o.WarmUp < 0 || o.WarmUp >= o.Duration {
		return fmt.Errorf("warm-up %v must not be negative and must be shorter than the duration %v", o.WarmUp, o.Duration)
	}
	if o.MaxInFlight < 1 || o.MaxRetries < 0 || o.Timeout <= 0 {
		return fmt.Errorf("in-flight limit %d must be at least 1, retries %d at least 0 and timeout %v greater than 0", o.MaxInFlight, o.MaxRetries, o.Timeout)
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
