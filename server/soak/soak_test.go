// Package soak runs the real programs of the users' platform as separate
// processes on loopback, harms them and their links at random from outside, and
// checks the project's promises from what callers and backend servers see.
package soak

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"persimmonwind.dev/platform"
	"persimmonwind.dev/platform/platformtest"
	"persimmonwind.dev/server/standin/program"
)

var (
	firstSeed = flag.Uint64("soak.seed", 0, "first seed; 0 for the regression cases and one seed more")
	seedCount = flag.Uint64("soak.seeds", 1, "number of seeds from -soak.seed on")
	duration  = flag.Duration("soak.time", 8*time.Second, "time of faults for each seed")
	keepLogs  = flag.String("soak.logs", "", "folder for the logs of seeds that fail")
)

// regressionSeeds are those that ever failed, each with its cause.
var regressionSeeds = []uint64{}

// usualSeed is played in every run of the tests.
const usualSeed = 1

var binary string

func TestMain(m *testing.M) {
	os.Exit(program.Run(m, &binary))
}

func TestSoak(t *testing.T) {
	seeds := append([]uint64{usualSeed}, regressionSeeds...)
	if *firstSeed != 0 {
		seeds = nil
		for i := range *seedCount {
			seeds = append(seeds, *firstSeed+i)
		}
	}
	for number, seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { soak(t, seed, number) })
	}
}

// soak plays one seed.
func soak(t *testing.T, seed uint64, number int) {
	w := newWorld(t, seed, number)
	k := &watch{w: w}
	ctx, stop := context.WithCancel(context.Background())
	var all sync.WaitGroup
	for i := range callers {
		all.Go(func() { k.call(ctx, seed, uint64(i)) })
	}
	all.Go(func() { k.lookAtConfiguration(ctx) })
	time.Sleep(time.Second) // A calm start: maps and connections are there.
	faults := &faults{k: k, w: w, random: rand.New(rand.NewPCG(seed, 2))}
	faults.run(time.Now().Add(*duration))
	w.group.DelayOrders(0)
	time.Sleep(touchTime)
	calmFrom, passBefore := time.Now(), w.pass()
	time.Sleep(2 * time.Second)
	passAfter := w.pass()
	stop()
	all.Wait()
	k.judge()
	k.judgeCalm(calmFrom)
	if passAfter == passBefore {
		k.report("the group rests after all faults have ended")
	}
	version, _ := w.group.Version()
	t.Logf("%d requests, %d faults, map version %d", len(k.attempts), faults.count, version)
	for i, broken := range k.broken {
		if i == 10 {
			t.Errorf("and %d more", len(k.broken)-i)
			break
		}
		t.Error(broken)
	}
	if t.Failed() && *keepLogs != "" {
		w.saveLogs(filepath.Join(*keepLogs, fmt.Sprint("seed-", seed)))
	}
}

func (w *world) pass() int64 {
	_, pass := w.group.Version()
	return pass
}

func (w *world) saveLogs(dir string) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		w.t.Error(err)
		return
	}
	for _, m := range w.machines {
		data, err := os.ReadFile(m.log.Name())
		if err == nil {
			err = os.WriteFile(filepath.Join(dir, m.name+".log"), data, 0o600)
		}
		if err != nil {
			w.t.Error(err)
		}
	}
}

// judgeCalm checks that nearly all requests are served again once all faults have
// ended.
func (k *watch) judgeCalm(from time.Time) {
	asked, served := 0, 0
	for _, a := range k.attempts {
		if a.began.After(from) {
			asked++
			if a.whole {
				served++
			}
		}
	}
	if asked == 0 || served < asked*9/10 {
		k.report("after all faults %d of %d requests are served", served, asked)
	}
}

// faults harms a world; several faults overlap.
type faults struct {
	k      *watch
	w      *world
	random *rand.Rand
	count  int
	all    sync.WaitGroup
}

// run harms the world until the time comes, and waits for the last fault to end.
func (f *faults) run(until time.Time) {
	kinds := []func(*machine, time.Duration){
		f.kill, f.kill, f.freeze, f.terminate, f.terminate, f.hangUp, f.cutStore, f.cutStore, f.cutBackend, f.cutBackend, f.cutBackend, f.configure, f.configure,
		f.drain, f.takeOut, f.forget, f.loseOrders, f.form,
	}
	for time.Now().Before(until) {
		kind := kinds[f.random.IntN(len(kinds))]
		m := f.w.machines[f.random.IntN(len(f.w.machines))]
		lasts := time.Duration(300+f.random.IntN(1700)) * time.Millisecond
		f.count++
		kind(m, lasts)
		// Series come close together, with gaps in between.
		time.Sleep(time.Duration(f.random.IntN(600)) * time.Millisecond)
	}
	f.all.Wait()
}

// later ends a fault.
func (f *faults) later(after time.Duration, do func()) {
	f.all.Go(func() {
		time.Sleep(after)
		do()
	})
}

// kill ends a process at once and starts it again.
func (f *faults) kill(m *machine, lasts time.Duration) {
	f.w.harm(m, lasts+time.Second)
	m.kill()
	f.later(lasts/4, func() { m.start(f.w.t) })
}

// freeze lets a process stand still.
func (f *faults) freeze(m *machine, lasts time.Duration) {
	f.w.harm(m, lasts)
	m.signal(syscall.SIGSTOP)
	f.later(lasts, func() { m.signal(syscall.SIGCONT) })
}

// terminate asks a process to end and starts it again. Requests that it has
// taken are finished, if nothing else happens meanwhile.
func (f *faults) terminate(m *machine, _ time.Duration) {
	f.w.harm(m, exitLimit+time.Second)
	asked := time.Now()
	m.signal(syscall.SIGTERM)
	f.all.Go(func() {
		if !m.awaitExit() {
			f.k.report("%s has not ended %v after it was asked to", m.name, exitLimit)
			m.kill()
		}
		f.k.judgeTermination(m, asked)
		m.start(f.w.t)
	})
}

// judgeTermination checks that no request was cut that the process had taken
// before it was asked to end.
func (k *watch) judgeTermination(m *machine, asked time.Time) {
	time.Sleep(200 * time.Millisecond) // Callers take their answers in.
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, a := range k.attempts {
		under := a.entry == m && a.began.Before(asked.Add(-50*time.Millisecond)) && a.ended.After(asked)
		if under && a.status == 0 && !k.w.harmedBetween(a.began, a.ended, func(other *machine) bool { return other != m }) {
			k.broken = append(k.broken, fmt.Sprintf("%s: cut by the end of %s: %s", a.id, m.name, a.problem))
		}
	}
}

func (f *faults) hangUp(m *machine, _ time.Duration) { m.signal(syscall.SIGHUP) }

// cutStore harms the link of a process to the store.
func (f *faults) cutStore(m *machine, lasts time.Duration) {
	f.cut(m, m.store, lasts)
}

// cutBackend harms the link between entries and a backend server.
func (f *faults) cutBackend(_ *machine, lasts time.Duration) {
	f.cut(nil, f.w.backends[f.random.IntN(len(f.w.backends))].link, lasts)
}

func (f *faults) cut(m *machine, p *proxy, lasts time.Duration) {
	f.w.harm(m, lasts)
	switch f.random.IntN(7) {
	default:
		f.pulse(p, lasts)
		return
	case 1:
		p.set(delayBytes)
	case 2:
		p.set(resetConnections)
	case 3:
		p.set(silenceBoth)
	case 4:
		p.set(silenceAnswers)
	}
	f.later(lasts, func() { p.set(passBytes) })
}

// pulse resets the open connections again and again; new ones work.
func (f *faults) pulse(p *proxy, lasts time.Duration) {
	const interval = 150 * time.Millisecond
	f.all.Go(func() {
		for range lasts / interval {
			p.set(resetConnections)
			p.set(passBytes)
			time.Sleep(interval)
		}
	})
}

// configure changes the configuration, twice in quick succession at times.
func (f *faults) configure(_ *machine, _ time.Duration) {
	for range 1 + f.random.IntN(2) {
		f.w.configure(f.random.IntN(2) == 0)
	}
}

// drain lets a plain backend server leave and come back.
func (f *faults) drain(_ *machine, lasts time.Duration) {
	b := f.w.backends[ranks+f.random.IntN(plainServers-1)]
	f.w.list(b, true)
	left := time.Now()
	f.later(drainTime+lasts, func() {
		f.k.judgeDrained(b, left, time.Now())
		f.w.list(b, false)
	})
}

// judgeDrained checks that entries in touch sent the server nothing new.
func (k *watch) judgeDrained(b *backend, left, back time.Time) {
	if k.w.harmedBetween(left.Add(-touchTime), back, func(*machine) bool { return true }) {
		return
	}
	k.w.ledger.Each(func(id string, runs []platformtest.Execution) {
		for _, run := range runs {
			if run.Server == b.server.ID && run.At.After(left.Add(drainTime)) && run.At.Before(back) {
				k.report("%s: ran at %s %v after it began to leave", id, run.Server, run.At.Sub(left))
			}
		}
	})
}

// takeOut takes a data centre out and back.
func (f *faults) takeOut(_ *machine, lasts time.Duration) {
	f.w.put(platform.TableOperators, platformtest.TakenOutKey("dc-1"), map[string]any{})
	f.later(lasts, func() { f.w.store.Remove(platform.TableOperators, platformtest.TakenOutKey("dc-1")) })
}

func (f *faults) forget(*machine, time.Duration) { f.w.store.DropHistory() }

// loseOrders lets engines carry orders out late, without an answer.
func (f *faults) loseOrders(_ *machine, lasts time.Duration) {
	f.w.group.DelayOrders(0.3)
	f.later(lasts, func() { f.w.group.DelayOrders(0) })
}

// form lets the group form again, as after the crash of a rank.
func (f *faults) form(*machine, time.Duration) { f.w.group.StartEpoch() }
