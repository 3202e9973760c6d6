package load

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
)

// Workload is the mix of requests.
type Workload struct {
	Model       string        `json:"model"`
	MinTokens   int           `json:"min_tokens"` // Of an answer; drawn evenly up to MaxTokens.
	MaxTokens   int           `json:"max_tokens"`
	PromptWords int           `json:"prompt_words"` // Of a prompt's own part.
	Prefixes    int           `json:"prefixes"`     // Number of prompt prefixes that requests share.
	PrefixWords int           `json:"prefix_words"`
	Calls       []ServiceCall `json:"calls,omitempty"`
}

// ServiceCall is a plain service's operation with its share of all requests.
type ServiceCall struct {
	Service   string  `json:"service"`
	Operation string  `json:"operation"`
	Share     float64 `json:"share"` // From 0 to 1.
}

// DefaultWorkload returns chats with few service calls among them, as the
// development system carries them.
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

// ParseServiceCall reads "service/operation=share".
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
			return fmt.Errorf("share %v of %s/%s is below 0", call.Share, call.Service, call.Operation)
		}
	}
	if share := w.callShare(); share > 1 {
		return fmt.Errorf("shares of calls sum to %v, above 1", share)
	}
	if w.MinTokens < 1 || w.MaxTokens < w.MinTokens {
		return fmt.Errorf("answers of %d to %d tokens: need at least 1, and the most not below the least", w.MinTokens, w.MaxTokens)
	}
	if w.PromptWords < 0 || w.PrefixWords < 0 || w.Prefixes < 0 {
		return fmt.Errorf("prompt words %d, prefix words %d and prefixes %d must not be negative", w.PromptWords, w.PrefixWords, w.Prefixes)
	}
	return nil
}

// request is one drawn request. Number makes its content unique in the run.
type request struct {
	number    int
	key       string
	chat      bool
	text      string // A chat's message, or a call's body.
	tokens    int    // Of a chat's answer.
	service   string
	operation string
}

// drawer draws the requests of one run.
type drawer struct {
	workload Workload
	keys     []string
	seed     uint64
	random   *rand.Rand
	prefixes []string
	number   int
}

func newDrawer(options Options, random *rand.Rand) *drawer {
	d := &drawer{workload: options.Workload, keys: options.Keys, seed: options.Seed, random: random}
	for range options.Workload.Prefixes {
		d.prefixes = append(d.prefixes, d.words(options.Workload.PrefixWords))
	}
	return d
}

func (d *drawer) next() request {
	d.number++
	drawn := request{number: d.number}
	if len(d.keys) > 0 {
		drawn.key = d.keys[d.random.IntN(len(d.keys))]
	}
	point := d.random.Float64()
	for _, call := range d.workload.Calls {
		if point < call.Share {
			drawn.service, drawn.operation = call.Service, call.Operation
			drawn.text = fmt.Sprintf(`{"seed":%d,"number":%d}`, d.seed, d.number)
			return drawn
		}
		point -= call.Share
	}
	drawn.chat = true
	drawn.tokens = d.workload.MinTokens + d.random.IntN(d.workload.MaxTokens-d.workload.MinTokens+1)
	drawn.text = d.prompt()
	return drawn
}

func (d *drawer) prompt() string {
	own := fmt.Sprintf("request %d of seed %d %s", d.number, d.seed, d.words(d.workload.PromptWords))
	if len(d.prefixes) == 0 {
		return own
	}
	return d.prefixes[d.random.IntN(len(d.prefixes))] + own
}

var vocabulary = []string{
	"tallow", "lye", "batch", "recipe", "label", "permit", "plaque", "sponsor",
	"roundabout", "safety", "summary", "draft", "check", "olive", "glycerine", "contract",
}

func (d *drawer) words(count int) string {
	var text strings.Builder
	for range count {
		text.WriteString(vocabulary[d.random.IntN(len(vocabulary))])
		text.WriteByte(' ')
	}
	return text.String()
}
