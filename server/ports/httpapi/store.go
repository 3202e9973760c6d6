package httpapi

import (
	"context"
	"net/http"
	"net/url"
	"strconv"

	"persimmonwind.dev/server/ports"
)

// Store implements ports.Table and ports.Weights, and gives access to the object
// store and the instance list of the same platform.
type Store struct {
	client    client
	instances *Instances
}

// NewStore returns a Store for the platform at the base URL.
func NewStore(base string, transport http.RoundTripper) *Store {
	c := newClient(base, transport)
	return &Store{client: c, instances: &Instances{client: c}}
}

func (s *Store) Get(ctx context.Context, key string) (ports.Row, error) {
	var row ports.Row
	err := s.client.callJSON(ctx, http.MethodGet, "/table/row?key="+url.QueryEscape(key), nil, &row)
	return row, err
}

func (s *Store) List(ctx context.Context, prefix, after string, limit int) ([]ports.Row, error) {
	query := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	var rows []ports.Row
	err := s.client.callJSON(ctx, http.MethodGet, "/table/list?"+query.Encode(), nil, &rows)
	return rows, err
}

func (s *Store) Commit(ctx context.Context, tx ports.Tx) error {
	return s.client.callJSON(ctx, http.MethodPost, "/table/commit", tx, nil)
}

// Objects returns the platform's object store.
func (s *Store) Objects() *Objects { return &Objects{client: s.client} }

// Instances returns the platform's instance list.
func (s *Store) Instances() *Instances { return s.instances }

// Objects implements ports.Objects, with an additional Delete method.
type Objects struct{ client client }

func (o *Objects) Put(ctx context.Context, name string, body []byte) error {
	_, err := o.client.call(ctx, http.MethodPut, "/objects/"+name, body)
	return err
}

func (o *Objects) Get(ctx context.Context, name string) ([]byte, error) {
	return o.client.call(ctx, http.MethodGet, "/objects/"+name, nil)
}

// Delete removes an object. It is no error if the object does not exist.
func (o *Objects) Delete(ctx context.Context, name string) error {
	_, err := o.client.call(ctx, http.MethodDelete, "/objects/"+name, nil)
	return err
}
