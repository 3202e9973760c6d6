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

// ExchangeReply returns the peer's revision, in its stamp, and the evidence that
// this revision is the newest.
type ExchangeReply struct {
	Stamp   Stamp
	Current bool          // Whether the peer has ever confirmed that its revision was the newest.
	Age     time.Duration // If Current, the time since the latest such confirmation.
	Started bool          // Whether the peer has passed its start-up check.
}

// Configuration is an accepted configuration, encoded for a receiver that
// already has some of its files or earlier versions of them.
type Configuration struct {
	Revision uint64
	Versions map[string]config.FileVersion // Version of each file, by file name.
	Splices  map[string]config.Splice      // By file name: edits that turn the text that the receiver has into the new one; none for unchanged files.
}

// ConfigurationRequest asks a peer for its configuration.
type ConfigurationRequest struct {
	Stamp Stamp
	Have  map[string]string // Digest of each file text that the sender has, by file name.
}

// ConfigurationReply returns the peer's configuration. It is the zero value if
// the peer's revision is not newer than the sender's.
type ConfigurationReply struct {
	Stamp         Stamp
	Configuration Configuration
}

// OfferRequest sends a newly accepted configuration to a peer.
type OfferRequest struct {
	Stamp         Stamp
	Configuration Configuration
}

// OfferReply acknowledges an OfferRequest.
type OfferReply struct{ Stamp Stamp }

// ReportRequest asks a process which configuration it has in force.
type ReportRequest struct{ Stamp Stamp }

// ReportReply describes a process and the configuration that it has in force.
type ReportReply struct {
	Stamp    Stamp
	Instance ports.Instance
	Versions map[string]config.FileVersion // Version of each file in force, by file name.
	Current  bool                          // Whether the process knows a time at which its revision was the newest.
	Age      time.Duration                 // Time since the latest time at which that was known; set if Current is.
}

// InstancesRequest asks a peer for its instance list.
type InstancesRequest struct{ Stamp Stamp }

// InstancesReply returns the peer itself and the instances that it knows.
type InstancesReply struct {
	Stamp     Stamp
	Instances []ports.Instance
}
