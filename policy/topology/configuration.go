package topology

import "time"

// Kind is the kind of a route. It determines how often the work of one request may
// run.
type Kind int

// The kinds of routes.
const (
	NonIdempotent Kind = iota // The work of a request runs at most once.
	Idempotent                // The work of a request may run any number of times.
	Stream                    // The reply is a stream of events; the work runs at most once unless the route is resumable.
)

// Configuration is one accepted version of the operators' configuration. It does
// not change after it has been decoded.
type Configuration struct {
	Version       int64
	Routes        []Route
	Services      map[string]Service
	Organisations []Organisation
	// AnonymousCallers means that the configuration has no list of organisations, so that
	// callers need no keys. With an empty list nobody has a key.
	AnonymousCallers bool
	Limits           Limits
}

// Route maps requests to the backend servers of its target services.
type Route struct {
	Name             string
	Host             string
	Prefix           string // Begins and ends with a slash.
	Kind             Kind
	Resumable        bool          // An interrupted stream may continue on another backend server.
	Public           bool          // Callers need no key.
	Timeout          time.Duration // Maximum time until the final answer.
	Objective        time.Duration // Latency objective: time to the answer, or to the first event of a stream, that earns full credit.
	InterTokenTarget time.Duration // Target for the longest pause between events; 0 for plain requests.
	Priority         int           // Priority of the requests; 0 is the most urgent.
	MaxAttempts      int           // Maximum number of backend servers on which one request may run.
	Targets          []Target
}

// Repeatable reports whether the work of one request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Stream && r.Resumable)
}

// Target is one service of a route and its share of the route's requests.
type Target struct {
	Service string
	Weight  int // Share of the requests, relative to the sum of the weights of all targets.
}

// Service is a set of interchangeable backend servers.
type Service struct {
	Name            string
	HealthPath      string // Path of the health check.
	MaxConnections  int    // Maximum number of connections to one backend server, from all callers together.
	WarmUp          time.Duration
	WarmUpPerSecond float64 // Requests per second that a server can take while it warms up; 0 means no limit.
	Engine          *Engine // Nil for services that do not run a model.
}

// Engine is the cost model of the model engines of a service. Several engines form a
// group; each is one rank of it. The ranks run the passes of the model in lock step,
// and each holds some of the model's experts.
type Engine struct {
	Slots         int     // Number of requests that one server decodes at the same time.
	Stride        int     // Number of token steps in one pass of the group while requests decode.
	StepMS        float64 // Base duration of a token step.
	PerSequenceMS float64 // Time that each decoding request adds to a step.
	LinkMbps      float64 // Bandwidth of the link over which experts are copied.
	Sets          int     // Number of expert sets: sets of layers that share one placement of experts.
	Experts       int     // Number of experts in each expert set.
	Places        int     // Number of experts that a rank can hold in each expert set.
	NewPerSet     int     // Maximum number of experts that one change may add to a rank in each expert set.
	ExpertMB      float64 // Size of one expert in megabytes.

	// Cost of prompts and of memory. A value of 0 is unknown.
	ReadTokensPerSecond  float64 // Prompt tokens that one rank reads in a second.
	PairsMSPerMillion    float64 // Time to read that each million pairs of prompt tokens adds.
	Chunk                int     // Prompt tokens that one rank reads at most in a token step.
	ContextMSPerThousand float64 // Time that each thousand tokens in memory adds to a step.
	MemoryTokens         int     // Tokens that the memory of one rank holds.
	UsualPrompt          int     // Usual number of tokens of a prompt.
	UsualAnswer          int     // Usual number of tokens of an answer.
}

// CopyTime returns how long it takes a rank to copy one expert.
func (e *Engine) CopyTime() time.Duration {
	const bitsPerByte = 8
	if e.LinkMbps <= 0 {
		return 0
	}
	return time.Duration(e.ExpertMB * bitsPerByte / e.LinkMbps * float64(time.Second))
}

// Organisation is an organisation that sends requests, with its API keys. An empty key
// authenticates nobody, and no key authenticates an organisation without a name.
type Organisation struct {
	Name        string
	Keys        []string
	Priority    int  // Priority of its requests if HasPriority is set.
	HasPriority bool // Priority replaces the priority of the route.
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
	Slots      int           // Number of requests that it runs at the same time.
	Leaving    bool          // The server is draining before it stops; it gets no new work.
	WarmUpLeft time.Duration // Remaining warm-up time when the row was read.
	Revision   uint64        // Revision of the server's row in the store; a higher one of the same era was written later.
	Era        uint64        // Era of the store in which the row was read: it rises each time the store comes back from an older copy.
	Born       int64         // When this incarnation started, in Unix milliseconds; 0 if unknown.
}

// HasEngines reports whether a service of the configuration has model engines.
func (c *Configuration) HasEngines() bool {
	for _, service := range c.Services {
		if service.Engine != nil {
			return true
		}
	}
	return false
}
