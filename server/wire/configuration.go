package wire

import (
	"time"

	"persimmonwind.dev/policy/config"
	"persimmonwind.dev/server/ports"
)

// ExchangeRequest tells a peer the sender's revision and where it listens, and
// asks for the peer's evidence.
type ExchangeRequest struct {
	Stamp    Stamp
	Instance ports.Instance
}

// ExchangeReply answers ExchangeRequest.
type ExchangeReply struct {
	Stamp   Stamp
	Current bool          // The peer knows when its revision was the newest.
	Age     time.Duration // Time since then.
	Started bool          // The peer's start-up bit.
}

// Configuration is an accepted configuration on its way to a process that
// has some of its texts, or earlier versions of them.
type Configuration struct {
	Revision uint64
	Versions map[string]config.FileVersion // Of every file.
	Splices  map[string]config.Splice      // Of the files that the receiver lacks.
}

// ConfigurationRequest asks a peer for its configuration.
type ConfigurationRequest struct {
	Stamp Stamp
	Have  map[string]string // Digests of the texts that the sender has, by file.
}

// ConfigurationReply answers ConfigurationRequest.
type ConfigurationReply struct {
	Stamp         Stamp
	Configuration Configuration
}

// OfferRequest brings a newly accepted configuration.
type OfferRequest struct {
	Stamp         Stamp
	Configuration Configuration
}

// OfferReply answers OfferRequest.
type OfferReply struct{ Stamp Stamp }

// ReportRequest asks a process which configuration is in force there.
type ReportRequest struct{ Stamp Stamp }

// ReportReply answers ReportRequest.
type ReportReply struct {
	Stamp    Stamp
	Instance ports.Instance
	Versions map[string]config.FileVersion // In force, by file.
	Current  bool
	Age      time.Duration // Since the revision was known to be the newest.
}

// InstancesRequest asks a peer for its instance list.
type InstancesRequest struct{ Stamp Stamp }

// InstancesReply answers InstancesRequest.
type InstancesReply struct {
	Stamp     Stamp
	Instances []ports.Instance
}
