package httpapi

import (
	"context"
	"net/http"

	"persimmonwind.dev/policy/expertmap"
	"persimmonwind.dev/server/ports"
)

func (e *Engine) Report(ctx context.Context) (ports.RankReport, error) {
	var report ports.RankReport
	err := e.client.callJSON(ctx, http.MethodGet, "/expert-map", nil, &report)
	return report, err
}

func (e *Engine) OrderMap(ctx context.Context, order ports.RankOrder) (expertmap.EngineState, error) {
	var state expertmap.EngineState
	err := e.client.callJSON(ctx, http.MethodPost, "/expert-map/orders", order, &state)
	return state, err
}

func (s *Store) Fetch(ctx context.Context, name string, bytes int64) error {
	request := struct {
		Name  string `json:"name"`
		Bytes int64  `json:"bytes"`
	}{name, bytes}
	return s.client.callJSON(ctx, http.MethodPost, "/weights", request, nil)
}
