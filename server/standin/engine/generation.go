package engine

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"persimmonwind.dev/server/ports"
	"persimmonwind.dev/server/stream"
)

const (
	stallPollInterval = 5 * time.Millisecond
	defaultMaxTokens  = 16
	digestBase        = 36
	finishedRetention = 30 * time.Second // How long a finished generation can be resumed.
)

func promptDigest(prompt string) string {
	return strconv.FormatUint(xxhash.Sum64String(prompt), digestBase)
}

// generation is one answer in progress. Its pieces are kept so that a broken
// stream can be resumed.
type generation struct {
	request ports.Generation

	// Guarded by Engine.mu:
	bootID       string // Engine.bootID when the generation took its slot.
	epochAtStart int    // Engine.coldEpoch when the generation took its slot.
	cold         bool   // Whether the generation was started in cold start.

	mu      sync.Mutex
	changed chan struct{} // Closed and replaced whenever pieces or err changes.
	pieces  []stream.Piece
	err     error
}

func newGeneration(request ports.Generation) *generation {
	if request.MaxTokens <= 0 {
		request.MaxTokens = defaultMaxTokens
	}
	return &generation{request: request, changed: make(chan struct{})}
}

func (g *generation) notify() {
	close(g.changed)
	g.changed = make(chan struct{})
}

func (g *generation) add(piece stream.Piece) {
	g.mu.Lock()
	defer g.mu.Unlock()
	piece.ID = g.request.ID
	piece.Seq = len(g.pieces)
	g.pieces = append(g.pieces, piece)
	g.notify()
}

func (g *generation) fail(err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.err == nil {
		g.err = err
		g.notify()
	}
}

func (g *generation) failure() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.err
}

// piecesFrom returns the pieces from index on, or a channel that closes at the next
// change.
func (g *generation) piecesFrom(index int) ([]stream.Piece, <-chan struct{}, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if index < len(g.pieces) {
		return g.pieces[index:], nil, nil
	}
	return nil, g.changed, g.err
}

// follow passes the pieces to write until the generation has ended. It skips the
// pieces that contain only the first from tokens.
func (g *generation) follow(ctx context.Context, from int, write func(stream.Piece) error) error {
	for index := 0; ; {
		pieces, changed, err := g.piecesFrom(index)
		if err != nil {
			return err
		}
		if pieces == nil {
			select {
			case <-changed:
			case <-ctx.Done():
				return ctx.Err()
			}
			continue
		}
		for offset, piece := range pieces {
			index++
			piece.More = offset < len(pieces)-1
			if piece.From+piece.Tokens <= from && !piece.End {
				continue
			}
			if err := write(piece); err != nil || piece.End {
				return err
			}
		}
	}
}

// run generates the whole answer.
func (e *Engine) run(g *generation) {
	defer e.removeAfterRetention(g)
	if err := e.acquire(g); err != nil {
		g.fail(err)
		return
	}
	completed := false
	defer func() { e.release(g, completed) }()
	promptTokens, cached := e.prefill(g)
	for from := g.request.From; from < g.request.MaxTokens; {
		tokens := min(e.options.TokensPerPiece, g.request.MaxTokens-from)
		e.step(tokens)
		if g.failure() != nil {
			return
		}
		g.add(stream.Piece{From: from, Tokens: tokens, Text: answerText(g.request.Prompt, from, tokens)})
		from += tokens
	}
	usage := &stream.Usage{PromptTokens: promptTokens, CompletionTokens: g.request.MaxTokens, CachedTokens: cached}
	g.add(stream.Piece{From: g.request.MaxTokens, End: true, Finish: "stop", Usage: usage})
	completed = true
}

func (e *Engine) prefill(g *generation) (promptTokens, cached int) {
	promptTokens = len(strings.Fields(g.request.Prompt))
	cached = e.cachePrompt(g.request.Prompt)
	wait := time.Duration(promptTokens-cached) * e.options.PrefillTime
	if g.cold {
		wait += e.options.ColdDelay
	}
	if wait > 0 {
		time.Sleep(wait)
	}
	return promptTokens, cached
}

func (e *Engine) step(tokens int) {
	if wait := time.Duration(tokens) * e.options.TokenTime; wait > 0 {
		time.Sleep(wait)
	}
	for e.isStalled() {
		time.Sleep(stallPollInterval)
	}
}

func answerText(prompt string, from, tokens int) string {
	var text strings.Builder
	digest := promptDigest(prompt)
	for index := from; index < from+tokens; index++ {
		text.WriteString(digest)
		text.WriteByte('-')
		text.WriteString(strconv.Itoa(index))
		text.WriteByte(' ')
	}
	return text.String()
}

func (e *Engine) removeAfterRetention(g *generation) {
	time.AfterFunc(finishedRetention, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.generations[g.request.ID] == g {
			delete(e.generations, g.request.ID)
		}
	})
}
