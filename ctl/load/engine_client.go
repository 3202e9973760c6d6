package load

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"

	"persimmonwind.dev/server/ports"
	"persimmonwind.dev/server/ports/httpapi"
)

// engineClient sends chats straight to one stand-in engine, the baseline for
// what the load balancer adds.
type engineClient struct {
	engine *httpapi.Engine
	prefix string // Of the generations' ids.
	work   Workload
}

func newEngineClient(base string, options Options, transport http.RoundTripper) *engineClient {
	return &engineClient{
		engine: httpapi.NewEngine(base, transport), work: options.Workload,
		prefix: "direct-" + strconv.FormatUint(options.Seed, 10) + "-",
	}
}

func (c *engineClient) chat(ctx context.Context, drawn request, seen *observer) *failure {
	pieces, err := c.engine.Submit(ctx, ports.Generation{
		ID: c.prefix + strconv.Itoa(drawn.number), Model: c.work.Model,
		Prompt: enginePrompt(drawn.text), MaxTokens: drawn.tokens,
	})
	if err != nil {
		return transportFailure(ctx, err)
	}
	defer pieces.Close()
	for {
		piece, err := pieces.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return cutFailure(ctx, err)
		}
		seen.text([]byte(piece.Text))
	}
}
