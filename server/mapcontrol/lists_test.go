package mapcontrol

import (
	"context"
	"errors"
	"fmt"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"persimmonwind.dev/policy/mapswitch"
	"persimmonwind.dev/policy/reduce"
	"persimmonwind.dev/policy/topology"
	"persimmonwind.dev/server/loop"
	"persimmonwind.dev/server/rpc"
)

// listedEngine is the engine of a rank whose agent is stopped.
type listedEngine struct {
	Engine
	rank  int
	reads *int // Reads of its expert lists.
}

func (e listedEngine) Report(context.Context) (topology.RankState, error) {
	return topology.RankState{Group: "g", Open: true, Epoch: 1, Rank: e.rank, Size: 3, MapVersion: 4}, nil
}

func (e listedEngine) Lists(context.Context) (topology.RankLists, error) {
	*e.reads++
	return topology.RankLists{MapVersion: 4, Experts: [][]int{{e.rank}}}, nil
}

// Guards against a coordinator that stays in its survey as ranks whose lists are known take the
// rare reads of lists from those whose lists are not.
func TestListsOfSeveralStoppedAgents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		const stopped = 2
		reads := make([]int, stopped)
		members, engines := []Member{}, map[string]Engine{}
		for rank := range stopped {
			server := fmt.Sprint("server-", rank)
			members = append(members, Member{Server: server, Agent: fmt.Sprint("agent-", rank)})
			engines[server] = listedEngine{rank: rank, reads: &reads[rank]}
		}
		agent := &Agent{
			Members: func() []Member { return members }, EngineModel: func() *topology.Engine { return nil }, Log: logrus.NewEntry(logrus.New()),
			DirectEngine: func(address string) Engine { return engines[address] },
			peers:        rpc.NewPoolWithDialer(func(context.Context, string) (net.Conn, error) { return nil, errors.New("stopped") }),
		}
		c := agent.newCoordinator("g", 2)
		c.loop = loop.New(stepCollectingOrders, newView, func(reduce.Effect) {}, nil)
		ended := make(chan struct{})
		go func() { _ = c.loop.Run(ctx, mapswitch.New(2, stopped), tickInterval); close(ended) }()
		for end := time.Now().Add(stopped * remoteListsReadInterval); time.Now().Before(end); time.Sleep(readInterval) {
			for _, member := range members {
				c.read(ctx, member, true, false) // The first member always asks first.
			}
		}
		for rank, read := range reads {
			if read != 1 {
				t.Errorf("the lists of rank %d were read %d times", rank, read)
			}
		}
		cancel()
		<-ended
	})
}
