package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"

	"persimmonwind.dev/server/entry/openai"
)

const eventBufferSize = 4 << 10

var (
	dataPrefix   = []byte("data: ")
	doneMarker   = []byte("[DONE]")
	contentField = []byte(`"content":"`)
	errorStart   = []byte(`{"error"`)
)

// readEvents reads server-sent events until [DONE]. A stream that ends without it
// has the outcome Cut.
func readEvents(ctx context.Context, body io.Reader, trace *answerTrace) *failure {
	reader := bufio.NewReaderSize(body, eventBufferSize)
	for {
		line, err := readLine(reader)
		if err != nil {
			return readFailure(ctx, err)
		}
		data, ok := bytes.CutPrefix(line, dataPrefix)
		if !ok {
			continue
		}
		if bytes.Equal(data, doneMarker) {
			return nil
		}
		if f := readEvent(data, trace); f != nil {
			return f
		}
	}
}

func readFailure(ctx context.Context, err error) *failure {
	if ctx.Err() != nil {
		return failuref(TimedOut, "%v", err)
	}
	return failuref(Cut, "stream ended before its end marker: %v", err)
}

// readLine returns the next line without its line ending. The slice is valid
// until the next call.
func readLine(reader *bufio.Reader) ([]byte, error) {
	line, err := reader.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		start := append([]byte(nil), line...)
		rest, restErr := reader.ReadBytes('\n')
		line, err = append(start, rest...), restErr
	}
	if err != nil {
		return nil, err
	}
	return bytes.TrimRight(line, "\r\n"), nil
}

func readEvent(data []byte, trace *answerTrace) *failure {
	if text, ok := unescapedContent(data); ok {
		trace.text(text)
		return nil
	}
	if bytes.HasPrefix(data, errorStart) {
		var body openai.ErrorBody
		if err := json.Unmarshal(data, &body); err != nil {
			return failuref(Cut, "malformed error event: %v", err)
		}
		f := failureFromDetail(body.Error)
		f.kind = Failed
		return f
	}
	var event openai.Response
	if err := json.Unmarshal(data, &event); err != nil {
		return failuref(Cut, "malformed event: %v", err)
	}
	for _, choice := range event.Choices {
		if choice.Delta != nil {
			trace.text([]byte(choice.Delta.Content))
		}
	}
	return nil
}

// unescapedContent extracts the text of an event without decoding its JSON. It
// returns false if the text contains an escape sequence or is missing.
func unescapedContent(data []byte) ([]byte, bool) {
	start := bytes.Index(data, contentField)
	if start < 0 || bytes.HasPrefix(data, errorStart) {
		return nil, false
	}
	text := data[start+len(contentField):]
	end := bytes.IndexByte(text, '"')
	if end < 0 || bytes.IndexByte(text[:end], '\\') >= 0 {
		return nil, false
	}
	return text[:end], true
}
