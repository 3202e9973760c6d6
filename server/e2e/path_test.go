package e2e

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	. "github.com/smartystreets/goconvey/convey"

	"persimmonwind.dev/server/standin/engine"
	"persimmonwind.dev/server/standin/service"
)

// wantAnswer returns the text that a stand-in engine generates for the prompt.
func wantAnswer(prompt string, tokens int) string {
	var text strings.Builder
	for index := range tokens {
		text.WriteString(engine.Token(prompt, index))
	}
	return text.String()
}

func TestWholePathAsSeparateProcesses(t *testing.T) {
	s := newSystem(t)
	s.addBackend("engine-1", "dc-1", "engine")
	s.addBackend("certifications-1", "dc-1", "service")
	s.addEntry("entry-1", "dc-1")

	Convey("Given a system of separate processes", t, func() {
		client := openai.NewClient(option.WithBaseURL(s.callers["entry-1"]+"/v1"), option.WithAPIKey("dev-key"), option.WithMaxRetries(0))
		params := openai.ChatCompletionNewParams{
			Model:     "soap-assistant",
			MaxTokens: openai.Int(20),
			Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage("Check this recipe.")},
		}
		want := wantAnswer("user: Check this recipe.\n", 20)

		Convey("the OpenAI client gets a complete chat answer with its usage", func() {
			answer, err := client.Chat.Completions.New(context.Background(), params)
			So(err, ShouldBeNil)
			So(answer.Choices[0].Message.Content, ShouldEqual, want)
			So(answer.Choices[0].FinishReason, ShouldEqual, "stop")
			So(answer.Usage.CompletionTokens, ShouldEqual, 20)
		})

		Convey("it gets a streamed chat answer", func() {
			events := client.Chat.Completions.NewStreaming(context.Background(), params)
			var text strings.Builder
			for events.Next() {
				text.WriteString(events.Current().Choices[0].Delta.Content)
			}
			So(events.Err(), ShouldBeNil)
			So(text.String(), ShouldEqual, want)
		})

		Convey("it lists the models", func() {
			page, err := client.Models.List(context.Background())
			So(err, ShouldBeNil)
			So(page.Data[0].ID, ShouldEqual, "soap-assistant")
		})

		Convey("it decodes an error", func() {
			params.Model = "no-such-model"
			_, err := client.Chat.Completions.New(context.Background(), params)
			var coded *openai.Error
			So(err, ShouldHaveSameTypeAs, coded)
			So(err.(*openai.Error).StatusCode, ShouldEqual, http.StatusNotFound)
			So(err.(*openai.Error).Code, ShouldEqual, "unknown_model")
		})

		Convey("a certification answers with the id of its run", func() {
			status, body := s.post("entry-1", "/v1/services/certifications/stamp", `{"batch":"lye-1"}`)
			So(status, ShouldEqual, http.StatusOK)
			var run service.Run
			So(json.Unmarshal([]byte(body), &run), ShouldBeNil)
			So(run.RunID, ShouldNotBeEmpty)
			So(run.Body, ShouldEqual, `{"batch":"lye-1"}`)
		})
	})

	for name, p := range map[string]*process{"entry": s.entries["entry-1"], "agent": s.agents["engine-1"]} {
		p.signal(syscall.SIGTERM)
		if err := p.wait(); err != nil {
			t.Errorf("%s did not exit cleanly after SIGTERM: %v\n%s", name, err, p.log.String())
		}
	}
}
