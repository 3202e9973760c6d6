package load

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
)

// Workload is the mix of streamed chats and service calls that a run sends.
type Workload struct {
	Model       string        `json:"model"`
	MinTokens   int           `json:"min_tokens"` // The number of tokens of an answer is uniformly distributed from MinTokens to MaxTokens.
	MaxTokens   int           `json:"max_tokens"`
	PromptWords int           `json:"prompt_words"` // Words in the part of a prompt that is unique to it.
	Prefixes    int           `json:"prefixes"`     // Number of distinct prompt prefixes shared by requests.
	PrefixWords int           `json:"prefix_words"`
	Calls       []ServiceCall `json:"calls,omitempty"`
}

// ServiceCall is an operation of a plain service (one that is not a model) and the
// fraction of all requests that call it.
type ServiceCall struct {
	Service   string  `json:"service"`
	Operation string  `json:"operation"`
	Share     float64 `json:"share"` // Fraction of all requests, from 0 to 1.
}

// DefaultWorkload returns a mix of chats with a few service calls that the
// development system can serve.
func DefaultWorkload() Workload {
	return Workload{
		Model: "soap-assistant", MinTokens: 16, MaxTokens: 128,
		PromptWords: 24, Prefixes: 16, PrefixWords: 64,
		Calls: []ServiceCall{
			{Service: "registry", Operation: "lookup", Share: 0.1},
			{Service: "certifications", Operation: "stamp", Share: 0.05},
		},
	}
}

// ParseServiceCall parses "service/operation=share".
func ParseServiceCall(text string) (ServiceCall, error) {
	name, share, found := strings.Cut(text, "=")
	service, operation, named := strings.Cut(name, "/")
	number, err := strconv.ParseFloat(share, 64)
	if !found || !named || err != nil {
		return ServiceCall{}, fmt.Errorf("call %q is not of the form service/operation=share, such as registry/lookup=0.1", text)
	}
	return ServiceCall{Service: service, Operation: operation, Share: number}, nil
}

func (w Workload) callShare() float64 {
	sum := 0.0
	for _, call := range w.Calls {
		sum += call.Share
	}
	return sum
}

func (w Workload) validate() error {
	for _, call := range w.Calls {
		if call.Share < 0 {
			return fmt.Errorf("share %v of %s/%s must not be negative", call.Share, call.Service, call.Operation)
		}
	}
	if share := w.callShare(); share > 1 {
		return fmt.Errorf("sum %v of call shares must not exceed 1", share)
	}
	if w.MinTokens < 1 || w.MaxTokens < w.MinTokens {
		return fmt.Errorf("minimum tokens %d must be at least 1 and maximum tokens %d not less than the minimum", w.MinTokens, w.MaxTokens)
	}
	if w.PromptWords < 0 || w.PrefixWords < 0 || w.Prefixes < 0 {
		return fmt.Errorf("prompt words %d, prefix words %d and prefixes %d must not be negative", w.PromptWords, w.PrefixWords, w.Prefixes)
	}
	return nil
}

// request is one generated request. Its number makes its content unique within
// the run.
type request struct {
	number    int
	key       string // API key of the calling organisation.
	chat      bool   // A chat; otherwise a call of a plain service.
	text      string // Message of a chat or body of a call.
	tokens    int    // Expected number of tokens in the answer of a chat.
	service   string
	operation string
}

// requestGenerator generates the random requests of one run.
type requestGenerator struct {
	workload Workload
	keys     []string
	seed     uint64
	random   *rand.Rand
	prefixes []string
	number   int
}

func newRequestGenerator(options Options, random *rand.Rand) *requestGenerator {
	g := &requestGenerator{workload: options.Workload, keys: options.Keys, seed: options.Seed, random: random}
	for range options.Workload.Prefixes {
		g.prefixes = append(g.prefixes, g.words(options.Workload.PrefixWords))
	}
	return g
}

func (g *requestGenerator) next() request {
	g.number++
	req := request{number: g.number}
	if len(g.keys) > 0 {
		req.key = g.keys[g.random.IntN(len(g.keys))]
	}
	point := g.random.Float64()
	for _, call := range g.workload.Calls {
		if point < call.Share {
			req.service, req.operation = call.Service, call.Operation
			req.text = fmt.Sprintf(`{"seed":%d,"number":%d}`, g.seed, g.number)
			return req
		}
		point -= call.Share
	}
	req.chat = true
	req.tokens = g.workload.MinTokens + g.random.IntN(g.workload.MaxTokens-g.workload.MinTokens+1)
	req.text = g.prompt()
	return req
}

func (g *requestGenerator) prompt() string {
	unique := fmt.Sprintf("request %d of seed %d %s", g.number, g.seed, g.words(g.workload.PromptWords))
	if len(g.prefixes) == 0 {
		return unique
	}
	return g.prefixes[g.random.IntN(len(g.prefixes))] + unique
}

var vocabulary = []string{
	"tallow", "lye", "batch", "recipe", "label", "permit", "plaque", "sponsor",
	"roundabout", "safety", "summary", "draft", "check", "olive", "glycerine", "contract",
}

func (g *requestGenerator) words(count int) string {
	var text strings.Builder
	for range count {
		text.WriteString(vocabulary[g.random.IntN(len(vocabulary))])
		text.WriteByte(' ')
	}
	return text.String()
}
