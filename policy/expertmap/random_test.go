package expertmap_test

import (
	"flag"
	"fmt"
	"os"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"persimmonwind.dev/policy/expertmap"
)

// maxHealRounds is the number of rounds within which a group must use one map after
// all faults have ended.
const maxHealRounds = 200

func TestMain(m *testing.M) {
	flag.Parse()
	setDefault("rapid.seed", "11")
	setDefault("rapid.checks", "300")
	setDefault("rapid.steps", "150")
	setDefault("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// setDefault sets a flag unless the command line sets it.
func setDefault(name, value string) {
	isSet := false
	flag.Visit(func(f *flag.Flag) { isSet = isSet || f.Name == name })
	if !isSet {
		_ = flag.Set(name, value)
	}
}

// machine is the rapid state machine that applies random actions to a world.
type machine struct {
	*world
	size int
}

func (m *machine) rank(t *rapid.T) int { return rapid.IntRange(0, m.size-1).Draw(t, "rank") }

// Deliver delivers messages in flight in random order and processes queued orders.
func (m *machine) Deliver(t *rapid.T) {
	for range 8 {
		if len(m.inFlight) == 0 {
			return
		}
		m.deliver(rapid.IntRange(0, len(m.inFlight)-1).Draw(t, "message"), rapid.IntRange(0, 9).Draw(t, "keep") == 0)
		m.processOrders(t)
	}
}

func (m *machine) processOrders(t *rapid.T) {
	for rank := range m.engines {
		for len(m.engines[rank].Queue) > 0 && rapid.IntRange(0, 3).Draw(t, "serve") > 0 {
			m.processOrder(rank, rapid.IntRange(0, 9).Draw(t, "twice") == 0)
		}
	}
}

// Drop loses a message in flight.
func (m *machine) Drop(t *rapid.T) {
	if len(m.inFlight) > 0 {
		index := rapid.IntRange(0, len(m.inFlight)-1).Draw(t, "message")
		m.inFlight = append(m.inFlight[:index], m.inFlight[index+1:]...)
	}
}

// Land applies a write that is in flight to the table service.
func (m *machine) Land(t *rapid.T) {
	if !m.storeDown && len(m.writes) > 0 {
		m.applyWrite(rapid.IntRange(0, len(m.writes)-1).Draw(t, "write"))
	}
}

// Forget loses the result of a write, which may still be applied.
func (m *machine) Forget(t *rapid.T) {
	if len(m.writes) == 0 {
		return
	}
	index := rapid.IntRange(0, len(m.writes)-1).Draw(t, "write")
	if !m.writes[index].ResultLost {
		m.loseWriteResult(index)
	}
}

func (m *machine) Tick(t *rapid.T) { m.tick(m.rank(t)) }

// Run lets ranks run steps.
func (m *machine) Run(t *rapid.T) {
	for range 3 {
		for rank := range m.engines {
			if m.canRun(rank) && rapid.Bool().Draw(t, "run") {
				m.runStep(rank)
			}
		}
	}
}

func (m *machine) Propose(t *rapid.T) { m.coordinate(m.rank(t), expertmap.Propose{}) }

// TakeLease needs the table service; the previous holder is not told, as if it
// were paused.
func (m *machine) TakeLease(t *rapid.T) {
	if !m.storeDown && rapid.IntRange(0, 2).Draw(t, "lease") == 0 {
		m.takeLease(m.rank(t))
	}
}

// Store ends or begins an outage of the table service.
func (m *machine) Store(t *rapid.T) { m.storeDown = rapid.IntRange(0, 3).Draw(t, "down") == 0 }

func (m *machine) RestartAgent(t *rapid.T) {
	if rapid.IntRange(0, 3).Draw(t, "restart") == 0 {
		m.restartAgent(m.rank(t))
	}
}

// Lose restarts a rank's engine without its state.
func (m *machine) Lose(t *rapid.T) {
	if rapid.IntRange(0, 3).Draw(t, "lose") == 0 {
		m.loseEngineState(m.rank(t))
	}
}

// Check runs after every action.
func (m *machine) Check(t *rapid.T) {
	if m.violation != "" {
		t.Fatal(m.violation)
	}
}

// heal ends all faults and returns an error if the group then fails to settle on
// a map or to run.
func (m *machine) heal() error {
	m.storeDown = false
	m.takeLease(0)
	for round := 0; ; round++ {
		m.tick(0)
		m.drainAll()
		if m.coords[0].Phase == expertmap.Steady && m.allHaveMap() {
			break
		}
		m.coordinate(0, expertmap.Propose{})
		m.drainAll()
		if round > maxHealRounds {
			return fmt.Errorf("coordinator stays in phase %s, states %+v", m.coords[0].Phase, m.coords[0].States)
		}
	}
	return m.runAtLeast(8)
}

func (m *machine) allHaveMap() bool {
	for _, e := range m.engines {
		if e.State.HasNoMap() {
			return false
		}
	}
	return true
}

// drainAll calls deliverOldest until nothing is in flight.
func (m *machine) drainAll() {
	for len(m.inFlight)+len(m.writes) > 0 && m.violation == "" {
		m.deliverOldest()
	}
}

// deliverOldest applies the oldest write, delivers the oldest message and
// processes all queued orders.
func (m *machine) deliverOldest() {
	if len(m.writes) > 0 {
		m.applyWrite(0)
	}
	if len(m.inFlight) > 0 {
		m.deliver(0, false)
	}
	for rank := range m.engines {
		for len(m.engines[rank].Queue) > 0 {
			m.processOrder(rank, false)
		}
	}
}

// runAtLeast runs at least the number of steps on every rank.
func (m *machine) runAtLeast(steps int) error {
	for range steps * m.size * 2 {
		for rank := range m.engines {
			if m.canRun(rank) {
				m.runStep(rank)
			}
		}
	}
	if m.violation != "" {
		return fmt.Errorf("after healing: %s", m.violation)
	}
	first, last := m.engines[0].State, m.engines[m.size-1].State
	if first.InForce.IsNone() || first.InForce != last.InForce || !first.Hold.IsNone() {
		return fmt.Errorf("first and last rank end in states %+v and %+v", first, last)
	}
	return nil
}

func TestRandomFaults(t *testing.T) {
	for _, enforceFencing := range []bool{true, false} {
		name := "engines that ignore fencing numbers"
		if enforceFencing {
			name = "engines that check fencing numbers"
		}
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				size := rapid.IntRange(2, 4).Draw(t, "ranks")
				m := &machine{world: newWorld(size, enforceFencing), size: size}
				if rapid.Bool().Draw(t, "founded") {
					m.installFirstMap()
				}
				m.takeLease(0)
				t.Repeat(rapid.StateMachineActions(m))
				if err := m.heal(); err != nil {
					t.Fatal(err)
				}
			})
		})
	}
}

func TestChangeWithoutFaults(t *testing.T) {
	Convey("A group that starts without a map gets its first map and then changes it", t, func() {
		m := &machine{world: newWorld(3, true), size: 3}
		So(m.heal(), ShouldBeNil)
		first := m.engines[0].State.InForce
		m.coordinate(0, expertmap.Propose{})
		m.drainAll()
		So(m.runAtLeast(4), ShouldBeNil)
		So(m.engines[2].State.InForce.ID.Version, ShouldEqual, first.ID.Version+1)
		So(m.record.Change, ShouldResemble, m.engines[2].State.InForce)
	})
}
