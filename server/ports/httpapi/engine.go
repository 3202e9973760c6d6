package httpapi

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"

	"persimmonwind.dev/server/ports"
	"persimmonwind.dev/server/stream"
)

// Engine implements ports.Engine and ports.RankEngine for one model engine.
type Engine struct{ client client }

// NewEngine returns an Engine for the model engine at the base URL.
func NewEngine(base string, transport http.RoundTripper) *Engine {
	return &Engine{client: newClient(base, transport)}
}

func generationPath(id, suffix string) string {
	return "/generations/" + url.PathEscape(id) + suffix
}

func (e *Engine) Submit(ctx context.Context, generation ports.Generation) (*stream.Reader, error) {
	body, err := json.Marshal(generation)
	if err != nil {
		return nil, fmt.Errorf("encode generation %q: %w", generation.ID, err)
	}
	return e.openStream(ctx, http.MethodPost, generationPath(generation.ID, ""), body)
}

func (e *Engine) Resume(ctx context.Context, id string, from int) (*stream.Reader, error) {
	return e.openStream(ctx, http.MethodGet, generationPath(id, "?from="+strconv.Itoa(from)), nil)
}

func (e *Engine) openStream(ctx context.Context, method, path string, body []byte) (*stream.Reader, error) {
	response, err := e.client.do(ctx, method, path, body)
	if err != nil {
		return nil, err
	}
	return stream.NewReader(response.Body), nil
}

func (e *Engine) Cancel(ctx context.Context, id string) error {
	return e.client.callJSON(ctx, http.MethodDelete, generationPath(id, ""), nil, nil)
}

func (e *Engine) Load(ctx context.Context) (ports.EngineLoad, error) {
	var load ports.EngineLoad
	err := e.client.callJSON(ctx, http.MethodGet, "/load", nil, &load)
	return load, err
}

func (e *Engine) CacheEvents(ctx context.Context, after uint64) ([]ports.CacheEvent, error) {
	var events []ports.CacheEvent
	path := "/cache-events?after=" + strconv.FormatUint(after, 10)
	err := e.client.callJSON(ctx, http.MethodGet, path, nil, &events)
	return events, err
}

func (e *Engine) Order(ctx context.Context, order ports.Order) error {
	return e.client.callJSON(ctx, http.MethodPost, "/orders", order, nil)
}

func (e *Engine) ExportKV(ctx context.Context, id string) ([]byte, error) {
	return e.client.call(ctx, http.MethodGet, generationPath(id, "/kv"), nil)
}

func (e *Engine) ImportKV(ctx context.Context, id string, state []byte) error {
	_, err := e.client.call(ctx, http.MethodPut, generationPath(id, "/kv"), state)
	return err
}
