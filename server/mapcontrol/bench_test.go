package mapcontrol

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"persimmonwind.dev/platform"
	"persimmonwind.dev/policy/mapswitch"
	"persimmonwind.dev/policy/topology"
	"persimmonwind.dev/server/rpc"
)

// modelEngines simulates the engines of a group whose ranks run passes in lockstep.
// The demand for experts shifts every 40 passes.
type modelEngines struct {
	model topology.Engine
	size  int

	mu       sync.Mutex
	pass     int64
	states   []topology.RankState
	maps     []mapswitch.Map // Prepared maps, by rank.
	counts   []int64
	switches int
}

func newModelEngines(size int, model topology.Engine) *modelEngines {
	e := &modelEngines{model: model, size: size, states: make([]topology.RankState, size), maps: make([]mapswitch.Map, size)}
	for rank := range e.states {
		e.states[rank] = topology.RankState{Group: "g", Epoch: 1, Rank: rank, Size: size, Open: true, Active: 6, Pace: 1}
	}
	e.counts = make([]int64, model.Sets*model.Experts)
	return e
}

// beginPass starts the next pass unless a rank has an order to hold it.
func (e *modelEngines) beginPass(random *rand.Rand) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, state := range e.states {
		if state.HeldPass == e.pass+1 {
			return
		}
	}
	e.pass++
	if e.states[0].Armed != 0 && e.states[0].ArmedPass == e.pass {
		e.switches++
	}
	for rank := range e.states {
		state := &e.states[rank]
		state.Pass = e.pass
		if state.Armed != 0 && state.ArmedPass == e.pass {
			state.MapVersion, state.Armed, state.ArmedPass, state.Prepared = state.Armed, 0, 0, 0
		}
	}
	const passesPerDemandShift = 40
	demandShift := int(e.pass/passesPerDemandShift) * 17
	for i := range e.counts {
		e.counts[i] += int64(random.IntN(8))
		if (i*7+demandShift)%e.size < 6 {
			e.counts[i] += 40
		}
	}
}

// modelEngine is the simulated engine of one rank.
type modelEngine struct {
	group *modelEngines
	rank  int
}

func (e modelEngine) Report(context.Context) (topology.RankState, error) {
	e.group.mu.Lock()
	defer e.group.mu.Unlock()
	return e.group.states[e.rank], nil
}

func (e modelEngine) Counts(context.Context) (topology.RankCounts, error) {
	e.group.mu.Lock()
	defer e.group.mu.Unlock()
	return topology.RankCounts{Epoch: 1, Pass: e.group.pass, Counts: append([]int64(nil), e.group.counts...)}, nil
}

func (e modelEngine) Lists(context.Context) (topology.RankLists, error) {
	initial := mapswitch.InTurn(mapswitch.Shape{Sets: e.group.model.Sets, Experts: e.group.model.Experts, Ranks: e.group.size})
	lists := topology.RankLists{}
	for _, set := range initial {
		lists.Experts = append(lists.Experts, set[e.rank])
	}
	return lists, nil
}

func (e modelEngine) Give(_ context.Context, order topology.Order) error {
	e.group.mu.Lock()
	defer e.group.mu.Unlock()
	state := &e.group.states[e.rank]
	switch order.Kind {
	case topology.Prepare:
		state.Prepared = order.Version
	case topology.Arm:
		if order.Pass <= e.group.pass {
			return platform.ErrOrderRejected
		}
		state.Armed, state.ArmedPass = order.Version, order.Pass
	case topology.Hold:
		if order.Pass <= e.group.pass {
			return platform.ErrOrderRejected
		}
		state.HeldPass = order.Pass
	case topology.Release:
		if state.HeldPass == order.Pass {
			state.HeldPass = 0
		}
	}
	return nil
}

// BenchmarkCoordinator coordinates a group of 63 ranks for two seconds of passes of
// 70 ms, with all agents in this process. Its CPU profile shows what limits a
// coordinator.
func BenchmarkCoordinator(b *testing.B) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	model := topology.Engine{Slots: 10, Stride: 7, StepMS: 4.84, PerSequenceMS: 0.435, Sets: 8, Experts: 252, Places: 5, NewPerSet: 2, ExpertMB: 320, LinkMbps: 180000}
	for b.Loop() {
		engines := newModelEngines(63, model)
		byAddress := map[string]Engine{}
		directEngine := func(address string) Engine { return byAddress[address] }
		var members []Member
		var listeners []net.Listener
		for rank := range engines.size {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			listeners = append(listeners, listener)
			receiver := NewRank(modelEngine{engines, rank}, directEngine)
			go func() {
				_ = rpc.Serve(listener, map[string]any{receiverName: receiver, relayName: &Relay{peers: rpc.NewPool(nil)}}, logrus.NewEntry(logger))
			}()
			byAddress[listener.Addr().String()] = modelEngine{engines, rank}
			members = append(members, Member{Server: listener.Addr().String(), Agent: listener.Addr().String()})
		}
		testMetrics := NewMetrics(prometheus.NewRegistry())
		log := logrus.NewEntry(logger)
		agent := &Agent{
			Members: func() []Member { return members }, EngineModel: func() *topology.Engine { return &model },
			DirectEngine: directEngine, Log: log, Metrics: testMetrics, peers: rpc.NewPool(nil),
		}
		c := agent.newCoordinator("g", 1)
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		go func() {
			random := rand.New(rand.NewPCG(1, 1))
			for ctx.Err() == nil {
				time.Sleep(70 * time.Millisecond)
				engines.beginPass(random)
			}
		}()
		c.run(ctx, 0)
		cancel()
		for _, listener := range listeners {
			_ = listener.Close()
		}
		c.peers.Close()
		b.ReportMetric(float64(engines.switches)/2, "changes/s")
	}
}
