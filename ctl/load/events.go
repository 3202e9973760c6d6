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

const eventBuffer = 4 << 10

var (
	dataPrefix   = []byte("data: ")
	doneMark     = []byte("[DONE]")
	contentField = []byte(`"content":"`)
	errorStart   = []byte(`{"error"`)
)

// readEvents reads server-sent events until [DONE]. A stream without it is cut.
func readEvents(ctx context.Context, body io.Reader, seen *observer) *failure {
	reader := bufio.NewReaderSize(body, eventBuffer)
	for {
		line, err := readLine(reader)
		if err != nil {
			return cutFailure(ctx, err)
		}
		data, ok := bytes.CutPrefix(line, dataPrefix)
		if !ok {
			continue
		}
		if bytes.Equal(data, doneMark) {
			return nil
		}
		if f := readEvent(data, seen); f != nil {
			return f
		}
	}
}

func cutFailure(ctx context.Context, err error) *failure {
	if ctx.Err() != nil {
		return failed(TimedOut, "%v", err)
	}
	return failed(Cut, "stream ended before its end mark: %v", err)
}

// readLine returns the next line without its end; it is valid until the next
// call.
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

func readEvent(data []byte, seen *observer) *failure {
	if text, ok := plainContent(data); ok {
		seen.text(text)
		return nil
	}
	if bytes.HasPrefix(data, errorStart) {
		var body openai.ErrorBody
		if err := json.Unmarshal(data, &body); err != nil {
			return failed(Cut, "malformed error event: %v", err)
		}
		f := failureOf(body.Error)
		f.kind = Failed
		return f
	}
	var event openai.Response
	if err := json.Unmarshal(data, &event); err != nil {
		return failed(Cut, "malformed event: %v", err)
	}
	for _, choice := range event.Choices {
		if choice.Delta != nil {
			seen.text([]byte(choice.Delta.Content))
		}
	}
	return nil
}

// plainContent finds the text of an event whose text needs no unescaping,
// without decoding the event.
func plainContent(data []byte) ([]byte, bool) {
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
