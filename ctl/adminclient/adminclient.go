// Package adminclient is a client of the administration API.
//
// Every change has an ID, and a retry with the same ID returns the first outcome.
// The client can therefore retry a request whose answer was lost at the next
// entry, and a change is still accepted at most once.
package adminclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/google/uuid"

	"persimmonwind.dev/policy/config"
	"persimmonwind.dev/policy/result"
	"persimmonwind.dev/server/admin/adminapi"
	"persimmonwind.dev/server/configstore"
	"persimmonwind.dev/server/group"
)

const (
	requestTimeout = 20 * time.Second
	retryInterval  = 300 * time.Millisecond
	maxAttempts    = 3 // Maximum number of attempts of a request at each entry.
	maxAnswerBytes = 64 << 20
)

// ErrUnreachable means that no entry answered.
var ErrUnreachable = errors.New("no entry answered")

// Error is an error reported by an entry.
type Error struct{ adminapi.ErrorDetail }

func (e *Error) Error() string {
	if len(e.Problems) > 0 {
		return e.Problems.Error()
	}
	return fmt.Sprintf("%d %s: %s", int(e.Code), e.Name, e.Message)
}

// Client calls the administration API.
type Client struct {
	Servers []string // Base URLs of entries, tried in order until one answers.
	Token   string   // Operator token.
	HTTP    *http.Client
}

// New returns a client that calls the given entries.
func New(servers []string, token string) *Client {
	return &Client{Servers: servers, Token: token, HTTP: &http.Client{Timeout: requestTimeout}}
}

// request is one request to the administration API.
type request struct {
	method   string
	path     string
	body     any    // Request body, sent as JSON; nil for none.
	revision uint64 // Revision that the change is based on, for the If-Match header.
	ifMatch  bool   // Whether to send the If-Match header.
}

// Configuration returns the accepted revision and its files.
func (c *Client) Configuration(ctx context.Context) (adminapi.Configuration, error) {
	var answer adminapi.Configuration
	err := c.call(ctx, request{method: http.MethodGet, path: adminapi.PathConfiguration}, &answer)
	return answer, err
}

// File returns the text of a file and the revision it was read from. A revision
// of 0 means the accepted one.
func (c *Client) File(ctx context.Context, name string, revision uint64) (text []byte, read uint64, err error) {
	path := adminapi.PathFiles + url.PathEscape(name)
	if revision > 0 {
		path += "?revision=" + strconv.FormatUint(revision, 10)
	}
	answer, tag, err := c.send(ctx, request{method: http.MethodGet, path: path})
	if err != nil {
		return nil, 0, err
	}
	return answer, parseETag(tag), nil
}

func parseETag(tag string) uint64 {
	text, err := strconv.Unquote(tag)
	if err != nil {
		return 0
	}
	revision, _ := strconv.ParseUint(text, 10, 64)
	return revision
}

// Compare validates the files as a change to the accepted configuration, without
// applying them, and returns the fields that they would change.
func (c *Client) Compare(ctx context.Context, files config.Files) (adminapi.Comparison, error) {
	var answer adminapi.Comparison
	err := c.call(ctx, request{method: http.MethodPost, path: adminapi.PathDiff, body: adminapi.Files{Files: files}}, &answer)
	return answer, err
}

// Apply submits files as a change to the base revision. The entry refuses them if
// another change was accepted after that revision. If the change has no ID, Apply
// generates one.
func (c *Client) Apply(ctx context.Context, base uint64, change adminapi.ApplyRequest) (adminapi.AcceptedChange, error) {
	ensureID(&change.ID)
	var answer adminapi.AcceptedChange
	err := c.call(ctx, request{method: http.MethodPost, path: adminapi.PathApply, body: change, revision: base, ifMatch: true}, &answer)
	return answer, err
}

// Rollback submits the files of an earlier revision as a change to the base
// revision. It is accepted as a new revision.
func (c *Client) Rollback(ctx context.Context, base uint64, change adminapi.RollbackRequest) (adminapi.AcceptedChange, error) {
	ensureID(&change.ID)
	var answer adminapi.AcceptedChange
	err := c.call(ctx, request{method: http.MethodPost, path: adminapi.PathRollback, body: change, revision: base, ifMatch: true}, &answer)
	return answer, err
}

// SetTakenOut takes a data centre or backend server out of service, or returns it.
// kindPath is adminapi.PathDataCentres or adminapi.PathBackendServers.
func (c *Client) SetTakenOut(ctx context.Context, kindPath, name string, takenOut bool, change adminapi.TargetRequest) (adminapi.AcceptedChange, error) {
	ensureID(&change.ID)
	suffix := adminapi.SuffixReturn
	if takenOut {
		suffix = adminapi.SuffixTakeOut
	}
	var answer adminapi.AcceptedChange
	err := c.call(ctx, request{method: http.MethodPost, path: kindPath + url.PathEscape(name) + suffix, body: change}, &answer)
	return answer, err
}

func ensureID(id *string) {
	if *id == "" {
		*id = uuid.NewString()
	}
}

// Outcome returns the outcome of the change with the ID.
func (c *Client) Outcome(ctx context.Context, id string) (adminapi.AcceptedChange, error) {
	var answer adminapi.AcceptedChange
	err := c.call(ctx, request{method: http.MethodGet, path: adminapi.PathApplies + url.PathEscape(id)}, &answer)
	return answer, err
}

// Audit returns up to limit audit records with revisions greater than after, or
// the newest ones if after is nil.
func (c *Client) Audit(ctx context.Context, after *uint64, limit int) ([]configstore.Record, error) {
	query := url.Values{"limit": {strconv.Itoa(limit)}}
	if after != nil {
		query.Set("after", strconv.FormatUint(*after, 10))
	}
	var answer []configstore.Record
	err := c.call(ctx, request{method: http.MethodGet, path: adminapi.PathAudit + "?" + query.Encode()}, &answer)
	return answer, err
}

// Verify checks the complete audit chain.
func (c *Client) Verify(ctx context.Context) (adminapi.Verification, error) {
	var answer adminapi.Verification
	err := c.call(ctx, request{method: http.MethodGet, path: adminapi.PathVerify}, &answer)
	return answer, err
}

// Status returns the configuration in force in every process.
func (c *Client) Status(ctx context.Context) (adminapi.Status, error) {
	var answer adminapi.Status
	err := c.call(ctx, request{method: http.MethodGet, path: adminapi.PathStatus}, &answer)
	return answer, err
}

// Decision returns the planner's latest decision about the expert map of a group:
// whether it was changed, and why.
func (c *Client) Decision(ctx context.Context, name string) (group.Decision, error) {
	var answer group.Decision
	err := c.call(ctx, request{method: http.MethodGet, path: adminapi.PathGroups + url.PathEscape(name)}, &answer)
	return answer, err
}

func (c *Client) call(ctx context.Context, r request, out any) error {
	answer, _, err := c.send(ctx, r)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(answer, out); err != nil {
		return fmt.Errorf("decode response to %s %s: %w", r.method, r.path, err)
	}
	return nil
}

// send sends the request to each entry in turn until one answers with a success
// or a permanent error. It tries all entries up to maxAttempts times.
func (c *Client) send(ctx context.Context, r request) (answer []byte, tag string, err error) {
	var body []byte
	if r.body != nil {
		if body, err = json.Marshal(r.body); err != nil {
			return nil, "", fmt.Errorf("encode request to %s: %w", r.path, err)
		}
	}
	err = errors.New("no entry is configured")
	for range maxAttempts {
		for _, server := range c.Servers {
			var apiErr *Error
			answer, tag, err = c.sendTo(ctx, server, r, body)
			if err == nil || (errors.As(err, &apiErr) && !isTransient(apiErr.Code)) {
				return answer, tag, err
			}
		}
		select {
		case <-time.After(retryInterval):
		case <-ctx.Done():
			return nil, "", fmt.Errorf("%w: %w", ErrUnreachable, err)
		}
	}
	var apiErr *Error
	if errors.As(err, &apiErr) {
		return nil, "", err
	}
	return nil, "", fmt.Errorf("%w: %w", ErrUnreachable, err)
}

// isTransient reports whether a retry, possibly at another entry, can succeed.
func isTransient(code result.Code) bool {
	return code == result.StoreUnavailable || code == result.ApplyUnknown || code == result.NotReady
}

func (c *Client) sendTo(ctx context.Context, server string, r request, body []byte) ([]byte, string, error) {
	httpRequest, err := http.NewRequestWithContext(ctx, r.method, server+r.path, bytes.NewReader(body))
	if err != nil {
		return nil, "", fmt.Errorf("create request to %s: %w", server, err)
	}
	httpRequest.Header.Set("Authorization", "Bearer "+c.Token)
	if r.ifMatch {
		httpRequest.Header.Set("If-Match", strconv.Quote(strconv.FormatUint(r.revision, 10)))
	}
	response, err := c.HTTP.Do(httpRequest)
	if err != nil {
		return nil, "", err
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return nil, "", fmt.Errorf("read response from %s: %w", server, err)
	}
	if response.StatusCode/100 == 2 {
		return answer, response.Header.Get("ETag"), nil
	}
	var failure adminapi.Error
	if err := json.Unmarshal(answer, &failure); err != nil || failure.Error.Name == "" {
		return nil, "", fmt.Errorf("%s responded with status %d", server, response.StatusCode)
	}
	return nil, "", &Error{ErrorDetail: failure.Error}
}
