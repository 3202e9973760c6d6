package node

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"persimmonwind.dev/server/logevent"
	"persimmonwind.dev/server/wait"
)

const readyPollInterval = 50 * time.Millisecond

// logReady waits until a configuration is in force and logs that the process is
// ready.
func (n *Node) logReady(ctx context.Context) {
	for n.State().View.InForce == nil {
		if ctx.Err() != nil {
			return
		}
		wait.For(ctx, readyPollInterval)
	}
	logevent.Write(n.Log(), logevent.ProcessReady, logrus.Fields{"revision": n.State().View.Revision()})
}
