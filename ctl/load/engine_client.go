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

// engineClient sends chats directly to one stand-in engine. This is the baseline
// for the latency that the load balancer adds.
type engineClient struct {
	engine   *httpapi.Engine
	prefix   string // Prefix of generation IDs.
	workload Workload
}

func newEngineClient(base string, options Options, transport http.RoundTripper) *engineClient {
	return &engineClient{
		engine: httpapi.NewEngine(base, transport), workload: options.Workload,
		prefix: "direct-" + strconv.FormatUint(options.Seed, 10) + "-",
	}
}

func (c *engineClient) chat(ctx context.Context, req request, trace *answerTrace) *failure {
	pieces, err := c.engine.Submit(ctx, ports.Generation{
		ID: c.prefix + strconv.Itoa(req.number), Model: c.workload.Model,
		Prompt: enginePrompt(req.text), MaxTokens: req.tokens,
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
			return readFailure(ctx, err)
		}
		trace.text([]byte(piece.Text))
	}
}
