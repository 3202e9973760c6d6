// Package openai defines the request and response types of the
// OpenAI-compatible API that common client libraries use.
package openai

import (
	"encoding/json"
	"fmt"
	"strings"

	"persimmonwind.dev/policy/result"
	"persimmonwind.dev/server/stream"
)

// Message is one message of a chat.
type Message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"` // A string, or a list of parts.
}

type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// Text returns the message's text.
func (m Message) Text() (string, error) {
	var text string
	if err := json.Unmarshal(m.Content, &text); err == nil {
		return text, nil
	}
	var parts []contentPart
	if err := json.Unmarshal(m.Content, &parts); err != nil {
		return "", fmt.Errorf("message content is neither a string nor a list of parts")
	}
	var joined strings.Builder
	for _, p := range parts {
		if p.Type != "text" {
			return "", fmt.Errorf("message part of type %q is not supported, only \"text\" is", p.Type)
		}
		joined.WriteString(p.Text)
	}
	return joined.String(), nil
}

// Request is a chat completion or completion request.
type Request struct {
	Model               string          `json:"model"`
	Messages            []Message       `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
	N                   *int            `json:"n"`
	Stream              bool            `json:"stream"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
}

// ChatPrompt joins the chat's messages into the engine's prompt.
func (r Request) ChatPrompt() (string, error) {
	if len(r.Messages) == 0 {
		return "", fmt.Errorf("field \"messages\" must hold at least one message")
	}
	var prompt strings.Builder
	for _, message := range r.Messages {
		text, err := message.Text()
		if err != nil {
			return "", err
		}
		prompt.WriteString(message.Role + ": " + text + "\n")
	}
	return prompt.String(), nil
}

// TextPrompt returns a completion's prompt.
func (r Request) TextPrompt() (string, error) {
	var prompt string
	if err := json.Unmarshal(r.Prompt, &prompt); err != nil {
		return "", fmt.Errorf("field \"prompt\" must be a string")
	}
	return prompt, nil
}

// Choices returns the number of choices that the request asks for.
func (r Request) Choices() int {
	if r.N == nil {
		return 1
	}
	return *r.N
}

// TokenLimit returns the maximum number of tokens to generate, or fallback if
// the request sets none.
func (r Request) TokenLimit(fallback int) int {
	if r.MaxCompletionTokens > 0 {
		return r.MaxCompletionTokens
	}
	if r.MaxTokens > 0 {
		return r.MaxTokens
	}
	return fallback
}

// Usage contains the token counts that a response reports.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// UsageOf converts a stream's usage; nil stays nil.
func UsageOf(usage *stream.Usage) *Usage {
	if usage == nil {
		return nil
	}
	return &Usage{
		PromptTokens: usage.PromptTokens, CompletionTokens: usage.CompletionTokens,
		TotalTokens: usage.PromptTokens + usage.CompletionTokens,
	}
}

// ChatText is the text of a chat choice, complete or a delta.
type ChatText struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// Choice is one generated answer; a response has at most one.
type Choice struct {
	Index        int       `json:"index"`
	Message      *ChatText `json:"message,omitempty"` // Set in complete chat responses.
	Delta        *ChatText `json:"delta,omitempty"`   // Set in the events of a chat stream.
	Text         *string   `json:"text,omitempty"`    // Set in text completions, complete or streamed.
	FinishReason *string   `json:"finish_reason"`
}

// Response is a complete response or one event of a stream.
type Response struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"` // Unix seconds.
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Model is one entry of the model list.
type Model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"` // Unix seconds.
	OwnedBy string `json:"owned_by"`
}

// ModelList is the response to GET /v1/models.
type ModelList struct {
	Object string  `json:"object"`
	Data   []Model `json:"data"`
}

// ErrorBody is the body of every error response.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes one error. If NotRun is set, the work is guaranteed not to
// have run.
type ErrorDetail struct {
	Message      string `json:"message"`
	Type         string `json:"type"`
	Code         string `json:"code"`
	ResultCode   int    `json:"result_code"`
	NotRun       bool   `json:"not_run"`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty"`
}

// ErrorOf converts a result to the body of an error response.
func ErrorOf(err *result.Error) ErrorBody {
	info := result.Describe(err.Code)
	message := info.Meaning
	if err.Detail != "" {
		message += " " + err.Detail
	}
	return ErrorBody{Error: ErrorDetail{
		Message: message, Type: errorType(info.HTTPStatus), Code: info.Name,
		ResultCode: int(err.Code), NotRun: err.NotRun(), RetryAfterMS: err.RetryAfter.Milliseconds(),
	}}
}

func errorType(status int) string {
	switch {
	case status == 401 || status == 403:
		return "authentication_error"
	case status == 429:
		return "rate_limit_error"
	case status < 500:
		return "invalid_request_error"
	default:
		return "server_error"
	}
}
