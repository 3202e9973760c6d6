package topology

import "time"

// Kind says how often the work of a route may run for one request.
type Kind int

// The kinds of work.
const (
	NonIdempotent Kind = iota // At most once.
	Idempotent                // Any number of times.
	Stream                    // A stream of events; at most once unless resumable.
)

// Configuration is one version of what operators have accepted. It is never
// changed after it was decoded.
type Configuration struct {
	Version       int64
	Routes        []Route
	Services      map[string]Service
	Organisations []Organisation
	Limits        Limits
}

// Route leads requests to the backend servers of a service.
type Route struct {
	Name             string
	Host             string
	Prefix           string // Begins and ends with a slash.
	Kind             Kind
	Resumable        bool          // A stream that may go on at another backend server.
	Public           bool          // Needs no key.
	Timeout          time.Duration // Longest time until the final answer.
	Objective        time.Duration // Time to the answer, or to the first event, that earns full credit.
	InterTokenTarget time.Duration // Longest pause between events; 0 for plain requests.
	Priority         int           // 0 is the most urgent.
	MaxAttempts      int           // Backend servers on which one request may run.
	Targets          []Target
}

// Repeatable reports whether the work of one request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// Target is one service of a route with its share of the requests.
type Target struct {
	Service string
	Weight  int
}

// Service is a set of interchangeable backend servers.
type Service struct {
	Name            string
	HealthPath      string
	MaxConnections  int // To one backend server, from all callers together.
	WarmUp          time.Duration
	WarmUpPerSecond float64 // Requests a second that a cold server bears; 0 means no limit.
	Engine          *Engine // Nil for plain services.
}

// Engine is the cost model of a service's model engines.
type Engine struct {
	Slots         int     // Requests that write at once on one server.
	Stride        int     // Token steps in a pass that has writers.
	StepMS        float64 // Base time of a token step.
	PerSequenceMS float64 // Added to a step by each writing request.
	LinkMbps      float64 // Of the link over which experts are copied.
	Sets          int     // Sets of layers that share an expert placement.
	Experts       int     // In each set.
	Places        int     // Experts that a rank holds in each set.
	NewPerSet     int     // Experts that one change may bring to a rank in each set.
	ExpertMB      float64 // Size of an expert.
}

// CopyTime returns how long a rank copies one expert.
func (e *Engine) CopyTime() time.Duration {
	const bitsPerByte = 8
	if e.LinkMbps <= 0 {
		return 0
	}
	return time.Duration(e.ExpertMB * bitsPerByte / e.LinkMbps * float64(time.Second))
}

// Organisation is a caller with its keys.
type Organisation struct {
	Name        string
	Keys        []string
	Priority    int
	HasPriority bool // Priority takes precedence over the route's.
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Server is one incarnation of a backend server as the platform lists it.
type Server struct {
	ID         string
	Service    string
	Address    string
	DataCentre string
	Slots      int
	Leaving    bool
	WarmUpLeft time.Duration // At the time of listing.
	Revision   uint64        // Of the row; a later one was written later.
}
