package wire

import (
	"time"

	"persimmonwind.dev/policy/config"
	"persimmonwind.dev/server/ports"
)

// ExchangeRequest sends a peer the sender's revision and addresses, and asks for
// the peer's evidence that its own revision is the newest; see package evidence.
type ExchangeRequest struct {
	Stamp    Stamp
	Instance ports.Instance
}

// ExchangeReply answers ExchangeRequest.
type ExchangeReply struct {
	Stamp   Stamp
	Current bool          // Whether the peer knows a time at which its revision was the newest.
	Age     time.Duration // Time since then.
	Started bool          // Whether the peer has passed its start-up check.
}

// Configuration is an accepted configuration, encoded for a receiver that
// already has some of its files or earlier versions of them.
type Configuration struct {
	Revision uint64
	Versions map[string]config.FileVersion // Of every file.
	Splices  map[string]config.Splice      // Edits that produce the files that the receiver lacks.
}

// ConfigurationRequest asks a peer for its configuration.
type ConfigurationRequest struct {
	Stamp Stamp
	Have  map[string]string // Digests of the file contents that the sender has, by file.
}

// ConfigurationReply answers ConfigurationRequest.
type ConfigurationReply struct {
	Stamp         Stamp
	Configuration Configuration
}

// OfferRequest sends a newly accepted configuration to a peer.
type OfferRequest struct {
	Stamp         Stamp
	Configuration Configuration
}

// OfferReply answers OfferRequest.
type OfferReply struct{ Stamp Stamp }

// ReportRequest asks a process which configuration it has in force.
type ReportRequest struct{ Stamp Stamp }

// ReportReply answers ReportRequest.
type ReportReply struct {
	Stamp    Stamp
	Instance ports.Instance
	Versions map[string]config.FileVersion // In force, by file.
	Current  bool
	Age      time.Duration // Time since the revision was known to be the newest.
}

// InstancesRequest asks a peer for its instance list.
type InstancesRequest struct{ Stamp Stamp }

// InstancesReply answers InstancesRequest.
type InstancesReply struct {
	Stamp     Stamp
	Instances []ports.Instance
}
