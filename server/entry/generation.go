package entry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"persimmonwind.dev/policy/config"
	"persimmonwind.dev/policy/result"
	"persimmonwind.dev/server/entry/attempt"
	"persimmonwind.dev/server/entry/openai"
	"persimmonwind.dev/server/stream"
)

const (
	defaultMaxTokens = 256
	maxTokens        = 128 << 10
)

// responseFormat determines the format of the responses of one endpoint.
type responseFormat struct {
	object      string
	chunkObject string
	prompt      func(openai.Request) (string, error)
	fullChoice  func(text string) openai.Choice
	chunkChoice func(text string) openai.Choice
}

var chatFormat = responseFormat{
	object:      "chat.completion",
	chunkObject: "chat.completion.chunk",
	prompt:      openai.Request.ChatPrompt,
	fullChoice: func(text string) openai.Choice {
		return openai.Choice{Message: &openai.ChatText{Role: "assistant", Content: text}}
	},
	chunkChoice: func(text string) openai.Choice {
		return openai.Choice{Delta: &openai.ChatText{Content: text}}
	},
}

var completionFormat = responseFormat{
	object:      "text_completion",
	chunkObject: "text_completion",
	prompt:      openai.Request.TextPrompt,
	fullChoice:  func(text string) openai.Choice { return openai.Choice{Text: &text} },
	chunkChoice: func(text string) openai.Choice { return openai.Choice{Text: &text} },
}

func (e *Entry) serveChat(w http.ResponseWriter, r *http.Request, snapshot *config.Snapshot, org config.Organisation) *result.Error {
	return e.serveGeneration(w, r, snapshot, org, chatFormat)
}

func (e *Entry) serveCompletion(w http.ResponseWriter, r *http.Request, snapshot *config.Snapshot, org config.Organisation) *result.Error {
	return e.serveGeneration(w, r, snapshot, org, completionFormat)
}

func (e *Entry) serveGeneration(w http.ResponseWriter, r *http.Request, snapshot *config.Snapshot, org config.Organisation, format responseFormat) *result.Error {
	body, refusal := readBody(w, r)
	if refusal != nil {
		return refusal
	}
	var parsed openai.Request
	if err := json.Unmarshal(body, &parsed); err != nil {
		return result.Errorf(result.BadRequest, "body is not valid JSON: %v", err)
	}
	request, refusal := generationRequest(r, snapshot, org, parsed, format)
	if refusal != nil {
		return refusal
	}
	setWriteDeadline(w, request.Deadline)
	response := openai.Response{ID: request.ID, Created: time.Now().Unix(), Model: request.Model}
	if parsed.Stream {
		response.Object = format.chunkObject
		return e.streamResponse(w, r, request, response, format, parsed.StreamOptions.IncludeUsage)
	}
	response.Object = format.object
	return e.writeFullResponse(w, r, request, response, format)
}

func generationRequest(r *http.Request, snapshot *config.Snapshot, org config.Organisation, parsed openai.Request, format responseFormat) (attempt.Request, *result.Error) {
	request, refusal := newRequest(r, org)
	if refusal != nil {
		return request, refusal
	}
	prompt, err := format.prompt(parsed)
	if err != nil {
		return request, result.Errorf(result.BadRequest, "%v", err)
	}
	model, adapter, _ := strings.Cut(parsed.Model, ":")
	if _, ok := snapshot.Models[model]; !ok {
		return request, result.Errorf(result.UnknownModel, "model %q does not exist", parsed.Model)
	}
	request.Model, request.Adapter, request.Prompt = model, adapter, prompt
	request.MaxTokens = parsed.TokenLimit(defaultMaxTokens)
	if request.MaxTokens > maxTokens {
		return request, result.Errorf(result.BadRequest, "max_tokens is %d; the limit is %d", request.MaxTokens, maxTokens)
	}
	if parsed.Choices() > 1 {
		return request, result.Errorf(result.BadRequest, "n is %d; only one choice per response is supported", parsed.Choices())
	}
	request.Idempotent = true
	return request, nil
}

func (e *Entry) writeFullResponse(w http.ResponseWriter, r *http.Request, request attempt.Request, response openai.Response, format responseFormat) *result.Error {
	var text strings.Builder
	finishReason := ""
	refusal := e.runner.Generate(r.Context(), request, func(piece stream.Piece) error {
		text.WriteString(piece.Text)
		if piece.End {
			finishReason = piece.Finish
			response.Usage = openai.UsageOf(piece.Usage)
		}
		return nil
	})
	if refusal != nil {
		return refusal
	}
	choice := format.fullChoice(text.String())
	choice.FinishReason = &finishReason
	response.Choices = []openai.Choice{choice}
	writeJSON(w, response)
	return nil
}

// streamResponse sends the response as server-sent events. After the first
// event, a failure is sent as an error event and the stream ends without
// [DONE].
func (e *Entry) streamResponse(w http.ResponseWriter, r *http.Request, request attempt.Request, response openai.Response, format responseFormat, includeUsage bool) *result.Error {
	events := &eventWriter{w: w}
	refusal := e.runner.Generate(r.Context(), request, func(piece stream.Piece) error {
		return writePiece(events, response, format, piece, includeUsage)
	})
	if refusal != nil && !events.started {
		return refusal
	}
	if refusal != nil {
		_ = events.write(openai.ErrorOf(refusal))
		_ = events.flush()
		return refusal
	}
	events.done()
	return nil
}

func writePiece(events *eventWriter, response openai.Response, format responseFormat, piece stream.Piece, includeUsage bool) error {
	choice := format.chunkChoice(piece.Text)
	if piece.End {
		choice.FinishReason = &piece.Finish
	}
	response.Choices = []openai.Choice{choice}
	if err := events.write(response); err != nil {
		return err
	}
	if piece.End && includeUsage {
		response.Choices = []openai.Choice{}
		response.Usage = openai.UsageOf(piece.Usage)
		return events.write(response)
	}
	if piece.End || piece.More {
		return nil
	}
	return events.flush()
}

// eventWriter writes server-sent events.
type eventWriter struct {
	w       http.ResponseWriter
	started bool
}

// write writes one event, which may stay buffered until flush or done.
func (e *eventWriter) write(value any) error {
	if !e.started {
		e.started = true
		e.w.Header().Set("Content-Type", "text/event-stream")
		e.w.Header().Set("Cache-Control", "no-cache")
	}
	body, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("encode event: %w", err)
	}
	if _, err := fmt.Fprintf(e.w, "data: %s\n\n", body); err != nil {
		return fmt.Errorf("send event: %w", err)
	}
	return nil
}

func (e *eventWriter) flush() error { return http.NewResponseController(e.w).Flush() }

// done sends the [DONE] event, which marks the stream as complete.
func (e *eventWriter) done() {
	_, _ = fmt.Fprint(e.w, "data: [DONE]\n\n")
	_ = e.flush()
}
