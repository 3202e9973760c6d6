// Package soak runs the platform's programs as separate processes on loopback,
// injects random faults into the processes and their links from outside, and checks
// the system's guarantees from what callers and backend servers see.
package soak

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"persimmonwind.dev/platform"
	"persimmonwind.dev/platform/platformtest"
	"persimmonwind.dev/server/standin/program"
)

var (
	firstSeed = flag.Uint64("soak.seed", 0, "first seed; 0 for the default seeds and the regression seeds; even seeds have routes that differ in priority and objective")
	seedCount = flag.Uint64("soak.seeds", 1, "number of consecutive seeds, starting at -soak.seed")
	duration  = flag.Duration("soak.time", 8*time.Second, "time during which faults are injected, per seed")
	keepLogs  = flag.String("soak.logs", "", "directory for the logs of failing seeds")
)

// regressionSeeds are the seeds that have failed once, each with the cause of the
// failure.
var regressionSeeds = []uint64{}

// defaultSeeds run whenever no seed is given: one without and one with routes that differ
// in priority and objective.
var defaultSeeds = []uint64{1, 2}

var binary string

func TestMain(m *testing.M) {
	os.Exit(program.Run(m, &binary))
}

func TestSoak(t *testing.T) {
	seeds := slices.Concat(defaultSeeds, regressionSeeds)
	if *firstSeed != 0 {
		seeds = nil
		for i := range *seedCount {
			seeds = append(seeds, *firstSeed+i)
		}
	}
	for number, seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { runSeed(t, seed, number) })
	}
}

// runSeed runs the deployment with the faults of one seed and checks the outcome.
func runSeed(t *testing.T, seed uint64, number int) {
	d := newDeployment(t, seed, number)
	c := &checker{d: d}
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	for i := range callerCount {
		running.Go(func() { c.runCaller(ctx, seed, uint64(i)) })
	}
	running.Go(func() { c.checkConfiguration(ctx) })
	time.Sleep(time.Second) // Lets maps and connections be established before the first fault.
	faultInjector := &faultInjector{c: c, d: d, random: rand.New(rand.NewPCG(seed, 2))}
	faultInjector.run(time.Now().Add(*duration))
	d.group.DelayOrders(0)
	time.Sleep(settleTime)
	recoveredAt, passBefore := time.Now(), d.pass()
	time.Sleep(2 * time.Second)
	passAfter := d.pass()
	stop()
	running.Wait()
	c.checkExecutions()
	c.checkRecovery(recoveredAt)
	if passAfter == passBefore {
		c.report("the group runs no passes after all faults have ended")
	}
	c.checkClasses()
	version, _ := d.group.Version()
	t.Logf("%d requests, %d faults, map version %d", len(c.attempts), faultInjector.count, version)
	for i, violated := range c.violated {
		if i == 10 {
			t.Errorf("%d more violations", len(c.violated)-i)
			break
		}
		t.Error(violated)
	}
	if t.Failed() && *keepLogs != "" {
		d.saveLogs(filepath.Join(*keepLogs, fmt.Sprint("seed-", seed)))
	}
}

// pass returns the number of the last pass of the group. A pass is a step of the model
// that all ranks run in lockstep.
func (d *deployment) pass() int64 {
	_, pass := d.group.Version()
	return pass
}

func (d *deployment) saveLogs(dir string) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		d.t.Error(err)
		return
	}
	for _, m := range d.machines {
		data, err := os.ReadFile(m.log.Name())
		if err == nil {
			err = os.WriteFile(filepath.Join(dir, m.name+".log"), data, 0o600)
		}
		if err != nil {
			d.t.Error(err)
		}
	}
}

// checkClasses checks that entries have scheduled requests by class exactly if the
// configuration's routes differ in the seed.
func (c *checker) checkClasses() {
	lines := 0
	for _, m := range c.d.machines[:entries] {
		data, err := os.ReadFile(m.log.Name())
		if err != nil {
			c.report("read log: %v", err)
		}
		lines += bytes.Count(data, []byte(`"class_level":`))
	}
	if lines > 0 != c.d.classes {
		c.report("%d log lines of requests that were scheduled by class", lines)
	}
}

// checkRecovery checks that at least 90 % of the requests that start after from,
// when all faults have ended, are answered completely.
func (c *checker) checkRecovery(from time.Time) {
	sent, completed := 0, 0
	for _, a := range c.attempts {
		if a.startedAt.After(from) {
			sent++
			if a.complete {
				completed++
			}
		}
	}
	if sent == 0 || completed < sent*9/10 {
		c.report("after all faults have ended %d of %d requests were answered completely", completed, sent)
	}
}

// faultInjector injects faults into a deployment; several faults may overlap.
type faultInjector struct {
	c       *checker
	d       *deployment
	random  *rand.Rand
	count   int
	pending sync.WaitGroup
}

// run injects random faults until the given time and waits for the last one to end.
func (f *faultInjector) run(until time.Time) {
	kinds := []func(*machine, time.Duration){
		f.kill, f.kill, f.freeze, f.terminate, f.terminate, f.hangup, f.disturbStoreLink, f.disturbStoreLink, f.disturbBackendLink, f.disturbBackendLink, f.disturbBackendLink, f.configure, f.configure,
		f.drain, f.takeOut, f.loseHistory, f.loseOrders, f.reformGroup,
	}
	for time.Now().Before(until) {
		kind := kinds[f.random.IntN(len(kinds))]
		m := f.d.machines[f.random.IntN(len(f.d.machines))]
		period := time.Duration(300+f.random.IntN(1700)) * time.Millisecond
		f.count++
		kind(m, period)
		// Some faults follow closely on each other, others after a gap.
		time.Sleep(time.Duration(f.random.IntN(600)) * time.Millisecond)
	}
	f.pending.Wait()
}

// endAfter calls do, which ends a fault, after the given time.
func (f *faultInjector) endAfter(after time.Duration, do func()) {
	f.pending.Go(func() {
		time.Sleep(after)
		do()
	})
}

// kill kills a process and restarts it after a quarter of the period.
func (f *faultInjector) kill(m *machine, period time.Duration) {
	f.d.fault(m, period+time.Second)
	m.kill()
	f.endAfter(period/4, func() { m.start(f.d.t) })
}

// freeze suspends a process for the period.
func (f *faultInjector) freeze(m *machine, period time.Duration) {
	f.d.fault(m, period)
	m.signal(syscall.SIGSTOP)
	f.endAfter(period, func() { m.signal(syscall.SIGCONT) })
}

// terminate sends SIGTERM to a process and restarts it once it has exited. The
// process must finish the requests it has accepted unless another fault occurs
// meanwhile.
func (f *faultInjector) terminate(m *machine, _ time.Duration) {
	f.d.fault(m, exitLimit+time.Second)
	signalled := time.Now()
	m.signal(syscall.SIGTERM)
	f.pending.Go(func() {
		if !m.awaitExit() {
			f.c.report("%s has not exited %v after SIGTERM", m.name, exitLimit)
			m.kill()
		}
		f.c.checkTermination(m, signalled)
		m.start(f.d.t)
	})
}

// checkTermination checks that no request was cut off that the process had accepted
// before SIGTERM.
func (c *checker) checkTermination(m *machine, signalled time.Time) {
	time.Sleep(200 * time.Millisecond) // Lets callers record the responses that have just arrived.
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, a := range c.attempts {
		inFlight := a.entry == m && a.startedAt.Before(signalled.Add(-50*time.Millisecond)) && a.endedAt.After(signalled)
		if inFlight && a.status == 0 && !c.d.faultBetween(a.startedAt, a.endedAt, func(other *machine) bool { return other != m }) {
			c.violated = append(c.violated, fmt.Sprintf("%s: cut off by the termination of %s: %s", a.id, m.name, a.failure))
		}
	}
}

// hangup sends SIGHUP to a process, which must not disturb it.
func (f *faultInjector) hangup(m *machine, _ time.Duration) { m.signal(syscall.SIGHUP) }

// disturbStoreLink disturbs the link between a process and the store.
func (f *faultInjector) disturbStoreLink(m *machine, period time.Duration) {
	f.disturb(m, m.storeLink, period)
}

// disturbBackendLink disturbs the link between the entries and a backend server.
func (f *faultInjector) disturbBackendLink(_ *machine, period time.Duration) {
	f.disturb(nil, f.d.backends[f.random.IntN(len(f.d.backends))].link, period)
}

func (f *faultInjector) disturb(m *machine, p *proxy, period time.Duration) {
	f.d.fault(m, period)
	switch f.random.IntN(7) {
	default:
		f.resetRepeatedly(p, period)
		return
	case 1:
		p.setMode(delayBytes)
	case 2:
		p.setMode(resetConnections)
	case 3:
		p.setMode(dropBoth)
	case 4:
		p.setMode(dropAnswers)
	}
	f.endAfter(period, func() { p.setMode(passBytes) })
}

// resetRepeatedly resets the open connections at an interval; new ones work until
// the next reset.
func (f *faultInjector) resetRepeatedly(p *proxy, period time.Duration) {
	const interval = 150 * time.Millisecond
	f.pending.Go(func() {
		for range period / interval {
			p.setMode(resetConnections)
			p.setMode(passBytes)
			time.Sleep(interval)
		}
	})
}

// configure changes the configuration once, or twice in immediate succession.
func (f *faultInjector) configure(_ *machine, _ time.Duration) {
	for range 1 + f.random.IntN(2) {
		f.d.configure(f.random.IntN(2) == 0)
	}
}

// drain marks the backend server of a plain service as leaving, and later as serving
// again.
func (f *faultInjector) drain(_ *machine, period time.Duration) {
	b := f.d.backends[ranks+f.random.IntN(plainServers-1)]
	f.d.putServer(b, true)
	markedAt := time.Now()
	f.endAfter(drainLimit+period, func() {
		f.c.checkDrained(b, markedAt, time.Now())
		f.d.putServer(b, false)
	})
}

// checkDrained checks that entries sent the server no new request later than
// drainLimit after it was marked as leaving. It checks nothing if there was a fault
// between settleTime before the mark and the return, as entries may then lag behind.
func (c *checker) checkDrained(b *backend, markedAt, returnedAt time.Time) {
	if c.d.faultBetween(markedAt.Add(-settleTime), returnedAt, func(*machine) bool { return true }) {
		return
	}
	c.d.executionLog.Each(func(id string, runs []platformtest.Execution) {
		for _, run := range runs {
			if run.Server == b.server.ID && run.At.After(markedAt.Add(drainLimit)) && run.At.Before(returnedAt) {
				c.report("%s: ran at %s %v after it was marked as leaving", id, run.Server, run.At.Sub(markedAt))
			}
		}
	})
}

// takeOut takes a data centre out and returns it after the period.
func (f *faultInjector) takeOut(_ *machine, period time.Duration) {
	f.d.put(platform.TableOperators, platformtest.TakenOutKey("dc-1"), map[string]any{})
	f.endAfter(period, func() { f.d.store.Remove(platform.TableOperators, platformtest.TakenOutKey("dc-1")) })
}

// loseHistory makes the store drop its history of changes.
func (f *faultInjector) loseHistory(*machine, time.Duration) { f.d.store.DropHistory() }

// loseOrders makes the engines leave 30 % of the agents' orders about the expert map
// unanswered and execute them late.
func (f *faultInjector) loseOrders(_ *machine, period time.Duration) {
	f.d.group.DelayOrders(0.3)
	f.endAfter(period, func() { f.d.group.DelayOrders(0) })
}

// reformGroup starts a new epoch of the group, as after the crash of a rank: all ranks
// lose their expert maps.
func (f *faultInjector) reformGroup(*machine, time.Duration) { f.d.group.StartEpoch() }
