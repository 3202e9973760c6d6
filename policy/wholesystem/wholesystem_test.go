// Package wholesystem tests the control states of entries and agents together
// under injected faults. An oracle checks the invariants after every step; see
// docs/design/whole-system-fuzz.md.
package wholesystem

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"persimmonwind.dev/policy/control"
)

var (
	seedFlag   = flag.Uint64("wholesystem.seed", 0, "run this seed alone")
	seedsFlag  = flag.Uint64("wholesystem.seeds", 5, "run the seeds from 1 to this one")
	checksFlag = flag.Int("wholesystem.checks", 20, "runs of each seed")
	// knownRedFlag enables the checks that fail and are listed in KNOWN-RED.txt.
	knownRedFlag = flag.Bool("wholesystem.known-red", false, "check too that a restarted process installs no lower revision than it had")
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

const maxActions = 400 // Most actions in one execution of the system; rapid draws small numbers more often.

// actions lists the names of the actions that rapid chooses from; a name that is
// listed several times is chosen more often.
var actions = []string{
	"pass", "pass", "pass", "pass", "flow", "flow", "flow", "long", "long",
	"ask", "ask", "ask", "ask", "deliver", "deliver", "drop", "duplicate", "lose answer",
	"take out", "take out", "return", "race", "store", "pause", "resume", "resume", "restart",
	"cut", "cut", "heal", "heal", "cold", "cold", "leave",
}

func TestWholeSystem(t *testing.T) {
	first, last := uint64(1), *seedsFlag
	if *seedFlag > 0 {
		first, last = *seedFlag, *seedFlag
	}
	total := counts{}
	for seed := first; seed <= last; seed++ {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			_ = flag.Set("rapid.seed", fmt.Sprint(seed))
			_ = flag.Set("rapid.checks", fmt.Sprint(*checksFlag))
			t.Cleanup(func() {
				if t.Failed() {
					t.Logf("reproduce with: go test ./policy/wholesystem -run '^TestWholeSystem$' -wholesystem.seed=%d -wholesystem.checks=%d -wholesystem.known-red=%t", seed, *checksFlag, *knownRedFlag)
				}
			})
			rapid.Check(t, func(t *rapid.T) { runSimulation(t, &total) })
		})
	}
	t.Logf("%+v", total)
}

func runSimulation(t *rapid.T, total *counts) {
	total.runs++
	lag := time.Duration(rapid.IntRange(0, 5).Draw(t, "lag")) * 100 * time.Millisecond
	w := newWorld(rapid.IntRange(2, 3).Draw(t, "entries"), rapid.IntRange(3, 4).Draw(t, "agents"), rapid.Uint64().Draw(t, "random"), lag, total)
	w.warmUp(rapid.IntRange(0, 40).Draw(t, "warm-up"))
	for range rapid.IntRange(1, maxActions).Draw(t, "actions") {
		total.actions++
		w.performAction(t, rapid.SampledFrom(actions).Draw(t, "action"))
		if w.violation != nil {
			t.Fatal(w.violation)
		}
	}
}

// warmUp simulates this many rounds of requests, which may make the backend servers
// warm.
func (w *world) warmUp(rounds int) {
	for range rounds {
		w.advance(4, true)
		for _, p := range w.processes {
			if p.server != nil {
				w.sendRequests(p, 4)
			}
		}
	}
}

func (w *world) performAction(t *rapid.T, action string) {
	switch action {
	case "pass":
		w.advance(rapid.IntRange(1, 10).Draw(t, "ticks"), false)
	case "flow":
		w.advance(rapid.IntRange(1, 20).Draw(t, "ticks"), true)
	case "long":
		w.advance(rapid.IntRange(90, 130).Draw(t, "ticks"), rapid.Bool().Draw(t, "flow"))
	case "ask":
		w.sendRequests(w.drawAgent(t), rapid.IntRange(1, 8).Draw(t, "requests"))
	case "deliver", "drop", "duplicate", "lose answer":
		w.actOnMessage(t, action)
	case "take out", "return", "race":
		w.actAsOperator(t, action)
	case "store":
		w.store.up = !w.store.up
	case "cut", "heal":
		names := append([]string{""}, dataCentres...)
		one, two := rapid.SampledFrom(names).Draw(t, "end"), rapid.SampledFrom(names).Draw(t, "end")
		if one != two {
			w.cutLinks[[2]string{min(one, two), max(one, two)}] = action == "cut"
		}
	case "cold":
		w.counts.coldPeriods++
		w.drawAgent(t).server.startColdPeriod()
	case "leave":
		p := w.drawAgent(t)
		w.receive(p, message{kind: localEvent, boot: p.boot, event: control.Leave{}})
	default:
		w.actOnProcess(t, action)
	}
}

func (w *world) actOnMessage(t *rapid.T, action string) {
	if len(w.inFlight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.inFlight)-1).Draw(t, "message")
	switch action {
	case "deliver":
		w.deliver(i)
	case "drop":
		w.removeMessage(i)
	case "duplicate":
		w.send(w.inFlight[i])
	case "lose answer":
		w.loseSubmitReply()
	}
}

// loseSubmitReply drops the reply to a change after the change was accepted.
func (w *world) loseSubmitReply() {
	for i, m := range w.inFlight {
		if m.kind == submitRequest && !w.isLinkCut(m) {
			w.deliver(i)
			w.removeMessage(len(w.inFlight) - 1)
			return
		}
	}
}

func (w *world) actAsOperator(t *rapid.T, action string) {
	dataCentre := rapid.SampledFrom(dataCentres).Draw(t, "data centre")
	w.submitChange(w.drawEntry(t), dataCentre, action != "return")
	if action == "race" {
		w.submitChange(w.drawEntry(t), rapid.SampledFrom(dataCentres).Draw(t, "data centre"), rapid.Bool().Draw(t, "out"))
	}
}

func (w *world) actOnProcess(t *rapid.T, action string) {
	p := w.drawProcess(t, func(*process) bool { return true })
	switch action {
	case "pause":
		p.paused = true
	case "resume":
		if p.paused {
			w.resume(p)
		}
	case "restart":
		w.restart(p)
	}
}

func (w *world) drawAgent(t *rapid.T) *process {
	return w.drawProcess(t, func(p *process) bool { return p.server != nil })
}

func (w *world) drawEntry(t *rapid.T) *process {
	return w.drawProcess(t, func(p *process) bool { return p.server == nil })
}

func (w *world) drawProcess(t *rapid.T, match func(*process) bool) *process {
	var matching []*process
	for _, p := range w.processes {
		if match(p) {
			matching = append(matching, p)
		}
	}
	return matching[rapid.IntRange(0, len(matching)-1).Draw(t, "process")]
}
