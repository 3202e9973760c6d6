package agent

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"persimmonwind.dev/server/ports"
	"persimmonwind.dev/server/ports/httpapi"
	"persimmonwind.dev/server/standin/engine"
	"persimmonwind.dev/server/stream"
)

const testTokens = 40

// relayOnce relays one generation from a stand-in engine that injects the faults.
// The generation continues an answer after its first from tokens.
func relayOnce(from int, faults engine.StreamFaults) (text string, ended bool, err error) {
	options := engine.DefaultOptions()
	options.TokenTime = 0
	standIn := engine.New(options)
	standIn.SetStreamFaults(faults)
	server := httptest.NewServer(standIn.Handler())
	defer server.Close()
	transport := httpapi.NewTransport()
	defer transport.CloseIdleConnections()
	adapter := httpapi.NewEngine(server.URL, transport)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	request := ports.Generation{ID: "a", Prompt: "prompt", MaxTokens: testTokens, From: from}
	pieces, err := adapter.Submit(ctx, request)
	if err != nil {
		return "", false, err
	}
	recorder := httptest.NewRecorder()
	err = newRelay(adapter, request, recorder).run(ctx, pieces)
	text, ended = readAnswer(recorder)
	return text, ended, err
}

func readAnswer(recorder *httptest.ResponseRecorder) (string, bool) {
	reader := stream.NewReader(io.NopCloser(recorder.Body))
	var text strings.Builder
	for {
		piece, err := reader.Next()
		if err != nil {
			return text.String(), errors.Is(err, io.EOF)
		}
		text.WriteString(piece.Text)
	}
}

func TestCarryUnderStreamFaults(t *testing.T) {
	var want strings.Builder
	for index := range testTokens {
		want.WriteString(engine.Token("prompt", index))
	}
	rows := []struct {
		name   string
		faults engine.StreamFaults
	}{
		{"no fault", engine.StreamFaults{}},
		{"a stream cut twice", engine.StreamFaults{CutEvery: 5}},
		{"every piece twice", engine.StreamFaults{DuplicateEvery: 1}},
		{"pieces out of order", engine.StreamFaults{SwapEvery: 2}},
		{"duplicates out of order", engine.StreamFaults{SwapEvery: 3, DuplicateEvery: 2}},
		{"a piece of another answer", engine.StreamFaults{ForeignEvery: 7}},
	}
	Convey("A relayed answer is complete and in order with", t, func() {
		for _, row := range rows {
			Convey(row.name, func() {
				text, ended, err := relayOnce(0, row.faults)
				So(err, ShouldBeNil)
				So(ended, ShouldBeTrue)
				So(text, ShouldEqual, want.String())
			})
		}
	})
	Convey("A continuation returns the rest of the answer", t, func() {
		text, ended, err := relayOnce(testTokens-1, engine.StreamFaults{DuplicateEvery: 1})
		So(err, ShouldBeNil)
		So(ended, ShouldBeTrue)
		So(text, ShouldEqual, engine.Token("prompt", testTokens-1))
	})
	Convey("An answer that can't be completed has no end piece", t, func() {
		text, ended, err := relayOnce(0, engine.StreamFaults{CutEvery: 1})
		So(err, ShouldNotBeNil)
		So(ended, ShouldBeFalse)
		So(text, ShouldBeEmpty)
	})
}

func TestCancelReachesTheEngine(t *testing.T) {
	Convey("A cancelled generation frees its slot in the engine", t, func() {
		options := engine.DefaultOptions()
		options.TokenTime = time.Millisecond
		standIn := engine.New(options)
		server := httptest.NewServer(standIn.Handler())
		defer server.Close()
		a := &Agent{engine: httpapi.NewEngine(server.URL, http.DefaultTransport)}
		ctx, disconnect := context.WithCancel(context.Background())
		pieces, err := a.engine.Submit(ctx, ports.Generation{ID: "a", Prompt: "p", MaxTokens: 1_000_000})
		So(err, ShouldBeNil)
		_, err = pieces.Next()
		So(err, ShouldBeNil)
		So(standIn.RunningGenerations(), ShouldEqual, 1)
		disconnect()
		a.cancel("a")
		for deadline := time.Now().Add(30 * time.Second); standIn.RunningGenerations() > 0 && time.Now().Before(deadline); {
			time.Sleep(time.Millisecond)
		}
		So(standIn.RunningGenerations(), ShouldEqual, 0)
	})
}
