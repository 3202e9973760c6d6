package load

import (
	"bytes"
	"encoding/json"
	"strconv"
	"strings"

	"persimmonwind.dev/server/standin/engine"
	"persimmonwind.dev/server/standin/service"
)

// enginePrompt returns the prompt that an entry sends to the engine for a chat
// with a single user message.
func enginePrompt(text string) string { return "user: " + text + "\n" }

// verifyChat compares the complete text with the one that the stand-in engine
// generates for this prompt.
func verifyChat(req request, text []byte) *failure {
	digest := strings.TrimSuffix(engine.Token(enginePrompt(req.text), 0), "0 ")
	want := make([]byte, 0, len(text))
	for index := range req.tokens {
		want = append(want, digest...)
		want = strconv.AppendInt(want, int64(index), 10)
		want = append(want, ' ')
	}
	if bytes.Equal(text, want) {
		return nil
	}
	return failuref(Wrong, "request %d: got %d bytes %.60q, want %d bytes %.60q", req.number, len(text), text, len(want), want)
}

// verifyCall checks that the answer of the stand-in service, which repeats the call
// that it executed, belongs to this request.
func verifyCall(req request, answer []byte) *failure {
	var run service.Run
	if err := json.Unmarshal(answer, &run); err != nil {
		return failuref(Wrong, "request %d: malformed answer: %v", req.number, err)
	}
	if run.RunID == "" || run.Body != req.text || run.Service != req.service || run.Operation != req.operation {
		return failuref(Wrong, "request %d: answer belongs to call %s/%s %q", req.number, run.Service, run.Operation, run.Body)
	}
	return nil
}
