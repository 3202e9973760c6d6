package httpapi

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
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

// List returns the instance list, which the caller must not modify. With ErrMalformedEntries it
// lacks the entries that can't be used.
func (i *Instances) List(ctx context.Context) ([]ports.Instance, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	response, err := i.client.getIfChanged(ctx, "/instances", i.etag)
	if err != nil {
		return nil, err
	}
	body, err := ReadAnswer(ctx, response.Body)
	if err != nil {
		return nil, fmt.Errorf("%w: read instance list: %v", ports.ErrUnknownOutcome, err)
	}
	if response.StatusCode == http.StatusNotModified {
		return i.list, nil
	}
	var entries []json.RawMessage
	if err := json.Unmarshal(body, &entries); err != nil {
		return nil, fmt.Errorf("%w: malformed instance list: %v", ports.ErrUnknownOutcome, err)
	}
	if entries == nil {
		return nil, fmt.Errorf("%w: the answer has no instance list", ports.ErrUnknownOutcome)
	}
	list, malformed := decodeInstances(entries)
	i.list, i.etag = list, response.Header.Get("ETag")
	return list, malformed
}

// decodeInstances returns the instances that can be used, and ErrMalformedEntries if there are
// others.
func decodeInstances(entries []json.RawMessage) ([]ports.Instance, error) {
	list := make([]ports.Instance, 0, len(entries))
	var first error
	for _, entry := range entries {
		var instance ports.Instance
		err := json.Unmarshal(entry, &instance)
		if err == nil {
			err = checkInstance(instance)
		}
		if err == nil {
			list = append(list, instance)
		} else if first == nil {
			first = err
		}
	}
	if first != nil {
		return list, fmt.Errorf("%w: %d of %d, the first: %.200s", ports.ErrMalformedEntries, len(entries)-len(list), len(entries), first.Error())
	}
	return list, nil
}

// checkInstance returns an error if the instance has no ID, or an address that can't be one.
func checkInstance(instance ports.Instance) error {
	if instance.ID == "" {
		return errors.New("an instance has no ID")
	}
	for _, address := range []string{instance.Control, instance.Traffic} {
		if address == "" {
			continue
		}
		_, port, err := net.SplitHostPort(address)
		if err != nil {
			return fmt.Errorf("instance %.60q: %w", instance.ID, err)
		}
		if number, err := strconv.ParseUint(port, 10, 16); err != nil || number == 0 {
			return fmt.Errorf("instance %.60q: port %.20q", instance.ID, port)
		}
	}
	return nil
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
