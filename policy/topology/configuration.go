package topology

import "time"

// Kind tells how often the work of one request of a route may run.
type Kind int

// The kinds of routes.
const (
	NonIdempotent Kind = iota // At most once.
	Idempotent                // Any number of times.
	Stream                    // A stream of events; at most once unless resumable.
)

// Configuration is one accepted version of the operators' configuration. It does
// not change after it has been decoded.
type Configuration struct {
	Version       int64
	Routes        []Route
	Services      map[string]Service
	Organisations []Organisation
	Limits        Limits
}

// Route maps requests to the backend servers of its target services.
type Route struct {
	Name             string
	Host             string
	Prefix           string // Begins and ends with a slash.
	Kind             Kind
	Resumable        bool          // The stream may continue on another backend server.
	Public           bool          // No key is required.
	Timeout          time.Duration // Maximum time until the final answer.
	Objective        time.Duration // Time to the answer, or to the first event, that earns full credit.
	InterTokenTarget time.Duration // Target for the longest pause between events; 0 for plain requests.
	Priority         int           // 0 is the most urgent.
	MaxAttempts      int           // Maximum number of backend servers on which one request may run.
	Targets          []Target
}

// Repeatable reports whether the work of one request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// Target is one service of a route, with its share of the requests.
type Target struct {
	Service string
	Weight  int
}

// Service is a set of interchangeable backend servers.
type Service struct {
	Name            string
	HealthPath      string
	MaxConnections  int // Maximum to one backend server, from all callers together.
	WarmUp          time.Duration
	WarmUpPerSecond float64 // Requests per second that a cold server can take; 0 means no limit.
	Engine          *Engine // Nil for plain services.
}

// Engine is the cost model of a service's model engines.
type Engine struct {
	Slots         int     // Requests that one server decodes at the same time.
	Stride        int     // Token steps in a pass in which requests decode.
	StepMS        float64 // Base duration of a token step.
	PerSequenceMS float64 // Time that each decoding request adds to a step.
	LinkMbps      float64 // Bandwidth of the link over which experts are copied.
	Sets          int     // Sets of layers that share an expert placement.
	Experts       int     // Number of experts in each set.
	Places        int     // Number of experts that a rank holds in each set.
	NewPerSet     int     // Maximum number of experts per set that one change may add to a rank.
	ExpertMB      float64 // Size of an expert.
}

// CopyTime returns how long it takes a rank to copy one expert.
func (e *Engine) CopyTime() time.Duration {
	const bitsPerByte = 8
	if e.LinkMbps <= 0 {
		return 0
	}
	return time.Duration(e.ExpertMB * bitsPerByte / e.LinkMbps * float64(time.Second))
}

// Organisation is a caller and its keys.
type Organisation struct {
	Name        string
	Keys        []string
	Priority    int
	HasPriority bool // Priority overrides the route's.
}

// Limits are the limits on what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Server is one incarnation of a backend server, as listed by the platform.
type Server struct {
	ID         string
	Service    string
	Address    string
	DataCentre string
	Slots      int
	Leaving    bool
	WarmUpLeft time.Duration // At the time of the listing.
	Revision   uint64        // Revision of the row; a higher one was written later.
}
