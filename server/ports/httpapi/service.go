package httpapi

import (
	"context"
	"fmt"
	"net/http"
	"net/url"

	"persimmonwind.dev/server/ports"
)

// HeaderRequestID carries the ID of a call to a plain service and, if the service
// returns it, of the call that an answer belongs to.
const HeaderRequestID = "Request-Id"

// Service implements ports.Service for one plain service.
type Service struct{ client client }

// NewService returns a Service for the plain service at the base URL.
func NewService(base string, transport http.RoundTripper) *Service {
	return &Service{client: newClient(base, transport)}
}

// Call sends one call. The HTTP status of the service is part of its answer, not
// an error.
func (s *Service) Call(ctx context.Context, call ports.ServiceCall) (ports.ServiceAnswer, error) {
	path := "/" + url.PathEscape(call.Service) + "/" + url.PathEscape(call.Operation)
	request, err := newServiceRequest(ctx, s.client.base+path, call)
	if err != nil {
		return ports.ServiceAnswer{}, fmt.Errorf("%w: %v", ports.ErrUnavailable, err)
	}
	response, err := s.client.http.Do(request)
	if err != nil {
		return ports.ServiceAnswer{}, transportError(err)
	}
	body, err := ReadAnswer(ctx, response.Body)
	if err != nil {
		return ports.ServiceAnswer{}, fmt.Errorf("%w: %v", ports.ErrUnknownOutcome, err)
	}
	if id := response.Header.Get(HeaderRequestID); id != "" && id != call.ID {
		return ports.ServiceAnswer{}, fmt.Errorf("%w: answer is for request %q, not %q", ports.ErrUnknownOutcome, id, call.ID)
	}
	return ports.ServiceAnswer{
		Status:      response.StatusCode,
		ContentType: response.Header.Get("Content-Type"),
		Body:        body,
	}, nil
}

func newServiceRequest(ctx context.Context, target string, call ports.ServiceCall) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, target, oneShotBody(call.Body))
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(call.Body))
	request.Header.Set(HeaderRequestID, call.ID)
	request.Header.Set("Content-Type", "application/json")
	return request, nil
}
