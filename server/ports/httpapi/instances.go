package httpapi

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"

	"persimmonwind.dev/server/ports"
)

// Instances implements ports.Instances. If the platform's answers carry an ETag,
// the instance list is transferred again only after a change.
type Instances struct {
	client client

	mu   sync.Mutex
	etag string // ETag of the cached list; empty if it has none.
	list []ports.Instance
}

// List returns the instance list, which the caller must not modify.
func (i *Instances) List(ctx context.Context) ([]ports.Instance, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	response, err := i.client.getIfChanged(ctx, "/instances", i.etag)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNotModified {
		return i.list, nil
	}
	var list []ports.Instance
	if err := json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(&list); err != nil {
		return nil, fmt.Errorf("%w: malformed instance list: %v", ports.ErrUnknownOutcome, err)
	}
	i.list, i.etag = list, response.Header.Get("ETag")
	return list, nil
}

// getIfChanged reads the path. The answer has status 304 and no body if the
// content at the path still has the ETag.
func (c client) getIfChanged(ctx context.Context, path, etag string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ports.ErrUnavailable, err)
	}
	if etag != "" {
		request.Header.Set("If-None-Match", etag)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, transportError(err)
	}
	if response.StatusCode == http.StatusOK || (etag != "" && response.StatusCode == http.StatusNotModified) {
		return response, nil
	}
	defer response.Body.Close()
	return nil, statusError(response)
}
