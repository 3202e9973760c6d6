package httpapi

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"persimmonwind.dev/server/ports"
)

// disconnectingServer answers the first request. It reads every later one, counts
// it and closes its connection without an answer. The first request leaves an idle
// connection, since a transport resends only what it sent on a reused connection.
func disconnectingServer() (*httptest.Server, *atomic.Int64) {
	var received atomic.Int64
	handler := func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.ReadAll(r.Body)
		if received.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
	}
	server := httptest.NewUnstartedServer(http.HandlerFunc(handler))
	server.Start()
	return server, &received
}

func TestRequestIsNotResentOnLostConnection(t *testing.T) {
	Convey("Given a server that reads a request and closes the connection without an answer", t, func() {
		server, received := disconnectingServer()
		defer server.Close()
		transport := NewTransport()
		defer transport.CloseIdleConnections()
		ctx := context.Background()

		for name, body := range map[string][]byte{"a body": []byte(`{"batch":1}`), "no body": nil} {
			Convey("a service call with "+name+" is sent once and its outcome is unknown", func() {
				service := NewService(server.URL, transport)
				_, err := service.Call(ctx, ports.ServiceCall{ID: "1", Service: "s", Operation: "o", Body: body})
				So(err, ShouldBeNil)
				_, err = service.Call(ctx, ports.ServiceCall{ID: "2", Service: "s", Operation: "o", Body: body})
				So(errors.Is(err, ports.ErrUnknownOutcome), ShouldBeTrue)
				So(received.Load(), ShouldEqual, 2)
			})
		}

		Convey("only oneShotBody keeps the transport from resending a request that it considers idempotent", func() {
			send := func(body io.Reader) {
				request, err := http.NewRequest(http.MethodPost, server.URL, body)
				So(err, ShouldBeNil)
				request.Header.Set("Idempotency-Key", "1")
				response, err := transport.RoundTrip(request)
				if err == nil {
					response.Body.Close()
				}
			}
			send(oneShotBody([]byte("1")))
			send(oneShotBody([]byte("1")))
			So(received.Load(), ShouldEqual, 2)
			received.Store(0)
			send(bytes.NewReader([]byte("1")))
			send(bytes.NewReader([]byte("1")))
			So(received.Load(), ShouldEqual, 3)
		})
	})
}

func TestRedirectNotFollowed(t *testing.T) {
	Convey("Given a service that reads a call and redirects to a closed address", t, func() {
		closed, err := net.Listen("tcp", "127.0.0.1:0")
		So(err, ShouldBeNil)
		So(closed.Close(), ShouldBeNil)
		for _, status := range []int{http.StatusSeeOther, http.StatusTemporaryRedirect} {
			server := httptest.NewServer(http.RedirectHandler("http://"+closed.Addr().String(), status))
			answer, err := NewService(server.URL, NewTransport()).Call(context.Background(), ports.ServiceCall{ID: "1", Service: "s", Operation: "o"})
			server.Close()
			So(err, ShouldBeNil)
			So(answer.Status, ShouldEqual, status)
		}
	})
}

func TestErrUnavailableOnlyWithoutEffect(t *testing.T) {
	Convey("Given a table service", t, func() {
		var status atomic.Int64
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if status.Load() == 0 {
				panic(http.ErrAbortHandler)
			}
			w.WriteHeader(int(status.Load()))
		}))
		store := NewStore(server.URL, NewTransport())
		commit := func() error { return store.Commit(context.Background(), ports.Tx{}) }
		defer server.Close()

		Convey("an address that refuses connections is unavailable", func() {
			server.Close()
			So(errors.Is(commit(), ports.ErrUnavailable), ShouldBeTrue)
		})
		Convey("an answer with status 503 is unavailable", func() {
			status.Store(http.StatusServiceUnavailable)
			So(errors.Is(commit(), ports.ErrUnavailable), ShouldBeTrue)
		})
		Convey("a lost answer, a server error and a gateway's error or timeout have an unknown outcome", func() {
			for _, answer := range []int64{0, http.StatusInternalServerError, http.StatusBadGateway, http.StatusGatewayTimeout} {
				status.Store(answer)
				err := commit()
				So(errors.Is(err, ports.ErrUnknownOutcome), ShouldBeTrue)
				So(errors.Is(err, ports.ErrUnavailable), ShouldBeFalse)
			}
		})
	})
}
